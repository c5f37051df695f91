package carobrouting

import (
	"math"
	"net/http"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// memory is the time after which a success or failure counts for less by a
// factor of e.
const memory = time.Second

// learn takes in what a reply tells of its target.
func learn(w *carobworld.World, now carobinstant.Instant, rp carobreply.Reply) {
	ld := load(w, rp.Target)
	if ld == nil {
		return
	}
	ld.Open = max(0, ld.Open-1)
	if rp.Report != nil {
		ld.Report, ld.At, ld.Sent = *rp.Report, now, 0
	} else {
		ld.Sent = max(0, ld.Sent-1)
	}
	count(ld, now, rp, lost(w, rp))
}

// lost reports whether an attempt was given up since another one was faster.
func lost(w *carobworld.World, rp carobreply.Reply) bool {
	cl := w.Calls.Get(rp.Job.Call)
	return rp.Kind == carobkind.Cancelled && cl != nil && cl.Stage == carobstage.Delivering
}

// count adds a success or failure. A refusal is neither: it says nothing of the
// target's health. An attempt that was given up is a failure if another target
// has answered meanwhile; that is all that is ever heard of a frozen one.
func count(ld *carobload.Load, now carobinstant.Instant, rp carobreply.Reply, slower bool) {
	decay(ld, now)
	switch {
	case rp.Kind == carobkind.None && rp.Status < http.StatusInternalServerError:
		ld.Successes++
		ld.Streak = 0
	case slower, rp.Kind == carobkind.None, rp.Kind == carobkind.Cut, rp.Kind == carobkind.Unreachable:
		ld.Failures++
		ld.Streak++
	}
}

// decay brings the counts of successes and failures up to date.
func decay(ld *carobload.Load, now carobinstant.Instant) {
	keep := math.Exp(-float64(now.Sub(ld.Counted)) / float64(memory))
	ld.Successes *= keep
	ld.Failures *= keep
	ld.Counted = now
}

// load returns the row of a target, or nil if it is new and the table is full.
func load(w *carobworld.World, id carobtargetid.ID) *carobload.Load {
	if ld := w.Loads.Get(id); ld != nil {
		return ld
	}
	return w.Loads.Put(id, carobload.Load{})
}
