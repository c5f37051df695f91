// Package carobejection takes targets that fail much more often than their
// peers out for a while.
//
// A target that fails fast has free slots and short latencies, and every rule
// that looks at load would send it more calls, not fewer.
package carobejection

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// enough is how many recent replies an error rate needs to be trusted.
	enough = 5
	// streak is how many failures in a row count as an error rate of 1, however
	// many successes came before.
	streak = 4
	// out is how long a target is out at least, and spread how much longer by
	// chance, so that nodes do not all try it again at once.
	out    = 1500 * time.Millisecond
	spread = time.Second
	// most is the share of a service's targets that may be out at once. Above it
	// the fault is not the targets', and taking more out would only overload the
	// rest.
	most = 0.5
)

// System ejects targets and lets them back by a trial: after a while one call
// at a time may try the target, and its reply decides.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run judges the targets that have replied in this tick. It runs after the
// routing, which counts the replies.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, rp := range w.Inbox.Replies {
		if ld := w.Loads.Get(rp.Target); ld != nil {
			judge(w, now, rp, ld)
		}
	}
	for _, ld := range w.Loads.All() {
		switch {
		case ld.Ejected == carobinstant.Never:
		case ld.Ejected.Reached(now):
			ld.Ejected, ld.Trial = carobinstant.Never, true
		default:
			w.WakeAt(ld.Ejected)
		}
	}
}

func judge(w *carobworld.World, now carobinstant.Instant, rp carobreply.Reply, ld *carobload.Load) {
	switch {
	case ld.Ejected != carobinstant.Never:
	case ld.Trial && failed(rp):
		eject(w, now, ld)
	case ld.Trial && rp.Kind == carobkind.None:
		ld.Trial, ld.Successes, ld.Failures, ld.Streak = false, 1, 0, 0
		audit(w, rp.Target, "ejected", "in")
	case !ld.Trial && worse(w, rp.Target, ld):
		eject(w, now, ld)
		audit(w, rp.Target, "in", "ejected")
	}
}

func failed(rp carobreply.Reply) bool {
	const firstError = 500
	return rp.Kind == carobkind.None && rp.Status >= firstError ||
		rp.Kind == carobkind.Cut || rp.Kind == carobkind.Unreachable
}

// worse reports whether a target fails more often than its peers by more than
// the profile allows, and may be taken out.
func worse(w *carobworld.World, id carobtargetid.ID, ld *carobload.Load) bool {
	pf, gp := w.ProfileOf(id.Service), w.Groups.Get(id.Service)
	if pf == nil || gp == nil || pf.Eject <= 0 {
		return false
	}
	return recent(ld) > peers(w, gp, id)+float64(pf.Eject) &&
		float64(outOf(w, gp)+1) <= most*float64(len(gp.Targets))
}

// recent returns the target's error rate as of now.
func recent(ld *carobload.Load) float64 {
	switch {
	case ld.Streak >= streak:
		return 1
	case ld.Successes+ld.Failures < enough:
		return 0
	default:
		return rate(ld.Successes, ld.Failures)
	}
}

// peers returns the error rate of all other targets of the service together.
func peers(w *carobworld.World, gp *carobgroup.Group, id carobtargetid.ID) float64 {
	var successes, failures float64
	for _, other := range gp.Targets {
		if ld := w.Loads.Get(other); ld != nil && other != id {
			successes += ld.Successes
			failures += ld.Failures
		}
	}
	return rate(successes, failures)
}

func rate(successes, failures float64) float64 {
	if failures == 0 {
		return 0
	}
	return failures / (successes + failures)
}

// outOf returns how many targets of the service are out or on trial.
func outOf(w *carobworld.World, gp *carobgroup.Group) int {
	n := 0
	for _, id := range gp.Targets {
		if ld := w.Loads.Get(id); ld != nil && (ld.Trial || ld.Ejected != carobinstant.Never) {
			n++
		}
	}
	return n
}

func eject(w *carobworld.World, now carobinstant.Instant, ld *carobload.Load) {
	ld.Trial = false
	ld.Ejected = now.Add(out + time.Duration(w.Random.Int64N(int64(spread))))
	w.WakeAt(ld.Ejected)
}

func audit(w *carobworld.World, id carobtargetid.ID, from, to string) {
	w.Outbox.Audits = append(w.Outbox.Audits, carobaudit.Audit{
		Who: string(w.Self.Node), Part: "route", What: "target " + id.String(), From: from, To: to,
	})
}
