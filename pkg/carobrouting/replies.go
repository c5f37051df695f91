package carobrouting

import (
	"math"
	"net/http"
	"time"

	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// outcomeDecay is the time constant of the exponential decay of the counts of
// successes and failures.
const outcomeDecay = time.Second

// recordReply updates the load of a target from a reply to an attempt. A target that has
// no row any more is gone.
func recordReply(world *carobworld.World, now carobinstant.Instant, reply carobattemptreply.AttemptReply) {
	load := world.Loads.Get(reply.Target)
	if load == nil {
		return
	}
	load.OpenAttempts = max(0, load.OpenAttempts-1)
	if reply.Report != nil {
		load.Report, load.ReportedAt, load.SentSinceReport = *reply.Report, now, 0
	} else {
		load.SentSinceReport = max(0, load.SentSinceReport-1)
	}
	recordOutcome(load, now, reply, supersededByAnswer(world, reply))
}

// supersededByAnswer reports whether the attempt was cancelled because another
// attempt of the call was answered first.
func supersededByAnswer(world *carobworld.World, reply carobattemptreply.AttemptReply) bool {
	call := world.Calls.Get(reply.Job.Call)
	return reply.Kind == carobkind.Cancelled && call != nil && call.Stage == carobstage.Delivering
}

// recordOutcome counts a success or a failure. A refusal counts as neither,
// since it does not depend on the target's health. An attempt that was
// cancelled because another target answered first counts as a failure: a frozen
// target shows itself in no other way.
func recordOutcome(load *carobload.Load, now carobinstant.Instant, reply carobattemptreply.AttemptReply, superseded bool) {
	decayOutcomes(load, now)
	switch {
	case reply.Kind == carobkind.None && reply.Status < http.StatusInternalServerError:
		load.Successes++
		load.ConsecutiveFailures = 0
	case superseded, reply.Kind == carobkind.None, reply.Kind == carobkind.ConnectionLost, reply.Kind == carobkind.Unreachable:
		load.Failures++
		load.ConsecutiveFailures++
	}
}

// decayOutcomes applies the decay up to now to the counts of successes and
// failures.
func decayOutcomes(load *carobload.Load, now carobinstant.Instant) {
	keep := math.Exp(-float64(now.Sub(load.DecayedAt)) / float64(outcomeDecay))
	load.Successes *= keep
	load.Failures *= keep
	load.DecayedAt = now
}

// loadOf returns the row of a target and adds it if it is missing. It returns
// nil if the row is missing and the table is full.
func loadOf(world *carobworld.World, id carobtargetid.ID) *carobload.Load {
	if load := world.Loads.Get(id); load != nil {
		return load
	}
	return world.Loads.Put(id, carobload.Load{})
}
