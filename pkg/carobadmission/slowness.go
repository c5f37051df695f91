package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcheck"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobhealth"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A VM whose neighbours take its processor for a moment is several times slower,
// and a job that starts then stays slow to its end, long after the moment is over.
// So a target whose VM is slow starts nothing, and its jobs wait until the moment is
// over, which costs them less. What the target says of it is soon out of date, and is
// asked for anew before a job starts.
//
// A VM that stays slow is another matter: to wait for it helps nobody. Slowness that
// lasts becomes what is usual for the target.

const (
	// readingAge is how long a reading that the VM is as fast as usual holds for a start,
	// and slowReadingAge one that it is not.
	readingAge     = 10 * time.Millisecond
	slowReadingAge = 20 * time.Millisecond
	// lasting is how long a VM is slow without a break until that is usual for it.
	lasting = time.Second
	// gap is the longest time between two readings that tell of the time between them.
	gap = 100 * time.Millisecond
	// checkPatience is how long a job waits for the answer to a health check.
	checkPatience = 25 * time.Millisecond
	// unansweredPause is how long a target is not asked that did not answer, and
	// untoldPause one
	// that answered and did not tell.
	unansweredPause = 200 * time.Millisecond
	untoldPause     = 10 * time.Second
	// burst is the part of a second's checks that may come at once.
	burst = 0.25
)

// takeHealth takes in what came of a health check.
func takeHealth(w *carobworld.World, now carobinstant.Instant, hl carobhealth.Health) {
	gt := w.Gates.Get(hl.Target)
	if gt == nil {
		return
	}
	gt.Asked = carobinstant.Never
	switch {
	case hl.Pressure == nil:
		gt.QuietUntil = now.Add(unansweredPause)
		return
	case hl.Pressure.Slowness == 0:
		gt.QuietUntil = now.Add(untoldPause)
		return
	}
	takeReading(gt, now, hl.Pressure.Slowness)
	gt.Limit = limit(gt, now)
	gt.Changed = true
}

// takeReading takes in a reading of how slow a target's VM is.
func takeReading(gt *carobgate.Gate, now carobinstant.Instant, slowness float64) {
	before := gt.Told
	gt.Slowness, gt.Told = slowness, now
	switch {
	case !slower(gt):
		gt.Usual, gt.SlowSince = max(1, slowness), carobinstant.Never
	case gt.SlowSince == carobinstant.Never || now.Sub(before) > gap:
		gt.SlowSince, gt.SlowLeast = now, slowness
	default:
		gt.SlowLeast = min(gt.SlowLeast, slowness)
		if gt.SlowSince.Add(lasting).Reached(now) {
			gt.Usual, gt.SlowSince = gt.SlowLeast, carobinstant.Never
		}
	}
}

// slower reports whether the VM was slower than usual by the newest reading.
func slower(gt *carobgate.Gate) bool {
	return gt.Slowness > slow*max(1, gt.Usual)
}

// mayStart reports whether a target may start a job by how slow its VM is, and has
// it asked if that is not known. What cannot be known holds nothing up.
func mayStart(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target, gt *carobgate.Gate) bool {
	rate := float64(w.Measure.Checks)
	if rate == 0 || gt.QuietUntil != carobinstant.Never && !gt.QuietUntil.Reached(now) {
		return true
	}
	if gt.Told != carobinstant.Never && !slower(gt) && now.Sub(gt.Told) < readingAge {
		return true
	}
	if until := gt.Told.Add(slowReadingAge); slower(gt) && !until.Reached(now) {
		w.WakeAt(until)
		return false
	}
	if gt.Asked != carobinstant.Never {
		due := gt.Asked.Add(checkPatience)
		w.WakeAt(due)
		return due.Reached(now)
	}
	gt.Checks.Fill(now, rate, burst*rate)
	if !gt.Checks.Spend(1) {
		w.WakeAt(now.Add(slowReadingAge))
		return !slower(gt) || now.Sub(gt.Told) >= gap
	}
	gt.Asked = now
	w.Outbox.Checks = append(w.Outbox.Checks, carobcheck.Check{Target: tg.ID, Address: tg.Address})
	w.WakeAt(now.Add(checkPatience))
	return false
}

// moveOn refuses the queued jobs that another target may run sooner than one whose VM
// is slow now.
func moveOn(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, gt *carobgate.Gate) {
	if w.Measure.Checks == 0 || !slower(gt) || now.Sub(gt.Told) > slowReadingAge {
		return
	}
	for _, jb := range w.Jobs.All() {
		if jb.Offer.Target == id && jb.Started == carobinstant.Never && jb.Offer.Wish.Movable {
			giveWay(w, now, jb, gt, "VM is slow")
		}
	}
}
