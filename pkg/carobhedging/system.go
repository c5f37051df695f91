// Package carobhedging requests hedges: second attempts of calls that take long,
// sent to another target.
package carobhedging

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblatency"
	"github.com/carobknot/carobknot/pkg/carobschedule"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// retriesPerDelay is how often within a delay a hedge is requested again
	// that was not sent because the budget was spent or all targets were busy.
	retriesPerDelay = 2
	// minDelay is the shortest time between an attempt and its hedge.
	minDelay = time.Millisecond
	// minSamples is the number of latencies below which the quantile is not
	// used.
	minSamples = 50
)

// System requests a second attempt of an idempotent call when the first one
// takes longer than a quantile of the recent latencies. It has to run after
// carobrouting, since it schedules the hedges of the attempts that carobrouting
// has just sent. The hedges that it requests are sent in the next tick.
type System struct {
	// pending has the calls that may be hedged, by the time of the next request.
	pending *carobschedule.Schedule[carobcallid.ID]
}

// NewSystem returns a System without pending hedges.
func NewSystem() *System {
	return &System{pending: carobschedule.NewSchedule[carobcallid.ID]()}
}

// Run records the latencies of answered calls and requests the hedges that are
// due.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, reply := range world.Inbox.AttemptReplies {
		s.recordLatency(world, now, reply)
	}
	for _, send := range world.Outbox.Sends {
		s.schedule(world, now, send)
	}
	for {
		id, ok := s.pending.Pop(now)
		if !ok {
			break
		}
		s.requestHedge(world, now, id)
	}
	if next := s.pending.NextDue(); next != carobinstant.Never {
		world.WakeAt(next)
	}
}

// recordLatency adds the latencies of an answered call's attempts. Attempts
// that are cancelled because of the answer count with the time until now, which
// is a lower bound of their latency.
func (s *System) recordLatency(world *carobworld.World, now carobinstant.Instant, reply carobattemptreply.AttemptReply) {
	call := world.Calls.Get(reply.Job.Call)
	if call == nil || call.Stage != carobstage.Delivering {
		return
	}
	s.pending.Set(reply.Job.Call, carobinstant.Never)
	latency := latencyOf(world, call.Arrival.Service)
	if latency == nil || reply.Kind != carobkind.None {
		return
	}
	for i := range call.Attempts {
		if at := &call.Attempts[i]; i == reply.Job.Attempt-1 || !at.Ended {
			latency.Histogram.Add(now.Sub(at.SentAt))
		}
	}
}

// schedule sets when a call that got a new attempt is hedged.
func (s *System) schedule(world *carobworld.World, now carobinstant.Instant, send carobsend.Send) {
	call := world.Calls.Get(send.Job.Call)
	latency := latencyOf(world, call.Arrival.Service)
	if latency == nil {
		return
	}
	if !mayHedge(call) || latency.Histogram.Weight() < minSamples {
		return
	}
	s.pending.Set(send.Job.Call, now.Add(delay(call, latency)))
}

// mayHedge reports whether a call may have a second attempt beside the open
// one.
func mayHedge(call *carobcall.Call) bool {
	return call.Profile.HedgeQuantile > 0 && call.Profile.Guarantee == carobguarantee.Idempotent && !call.Arrival.Streamed &&
		len(call.Attempts) < call.Profile.Attempts && call.OpenAttempts() == 1
}

// requestHedge requests a hedge if the retry budget has a token, and schedules
// the next request in case this one is not carried out. The token is spent by
// carobrouting when it finds a target.
func (s *System) requestHedge(world *carobworld.World, now carobinstant.Instant, id carobcallid.ID) {
	call := world.Calls.Get(id)
	if call == nil || call.Stage != carobstage.Attempting || !mayHedge(call) || !newestIsOpen(call.Attempts) {
		return
	}
	latency := latencyOf(world, call.Arrival.Service)
	if latency == nil {
		return
	}
	s.pending.Set(id, now.Add(delay(call, latency)/retriesPerDelay))
	if world.RetryBudgetOf(call.Arrival.Service).Tokens >= 1 {
		call.HedgeDue = true
		world.WakeAt(now.Add(time.Nanosecond))
	}
}

// delay returns the age of an attempt at which the call is hedged.
func delay(call *carobcall.Call, latency *caroblatency.Latency) time.Duration {
	return max(latency.Histogram.Quantile(float64(call.Profile.HedgeQuantile)), minDelay)
}

// newestIsOpen reports whether the newest attempt has no reply yet.
func newestIsOpen(attempts []carobattempt.Attempt) bool {
	return !attempts[len(attempts)-1].Ended
}

// latencyOf returns the row of a service and adds it if it is missing. It returns
// nil if the row is missing and the table is full.
func latencyOf(world *carobworld.World, service carobservice.Service) *caroblatency.Latency {
	if latency := world.Latencies.Get(service); latency != nil {
		return latency
	}
	return world.Latencies.Put(service, caroblatency.Latency{})
}
