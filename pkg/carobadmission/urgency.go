package carobadmission

import (
	"cmp"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// shortSlo is the longest SLO of calls which other calls wait for.
const shortSlo = 200 * time.Millisecond

// mostUrgent returns the queued job of a target that is started next, or nil.
func mostUrgent(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	return extreme(w, id, func(a, b *carobjob.Job) bool { return compare(now, a, b) < 0 })
}

// leastUrgent returns the queued job of a target that has to give way, or nil.
func leastUrgent(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	return extreme(w, id, func(a, b *carobjob.Job) bool { return compare(now, a, b) > 0 })
}

func extreme(w *carobworld.World, id carobtargetid.ID, before func(a, b *carobjob.Job) bool) *carobjob.Job {
	var best *carobjob.Job
	for _, jb := range w.Jobs.All() {
		if jb.Offer.Target != id || jb.Started != carobinstant.Never {
			continue
		}
		if best == nil || before(jb, best) {
			best = jb
		}
	}
	return best
}

// compare puts queued jobs into an order, the more urgent first. It answers load
// above what the target can do, when somebody has to wait:
//
//   - calls that can still be in time go before those that cannot;
//   - calls that are wanted soon were made by another call, which holds a slot until
//     they are answered, and go before those that begin something new. They are never
//     late: to lose one loses the other call too, which may still be in time;
//   - then rank decides, and then who is wanted first.
func compare(now carobinstant.Instant, a, b *carobjob.Job) int {
	return cmp.Or(
		cmp.Compare(truth(late(now, a)), truth(late(now, b))),
		cmp.Compare(truth(!short(a)), truth(!short(b))),
		cmp.Compare(a.Offer.Wish.Rank, b.Offer.Wish.Rank),
		cmp.Compare(wanted(a), wanted(b)),
		cmp.Compare(a.Came, b.Came),
	)
}

func late(now carobinstant.Instant, jb *carobjob.Job) bool {
	return jb.Offer.Wish.Whole > 0 && !short(jb) && wanted(jb).Reached(now)
}

// wanted returns when the answer is wanted: at the deadline if nobody said.
func wanted(jb *carobjob.Job) carobinstant.Instant {
	if jb.Offer.Wish.Whole == 0 {
		return jb.Deadline
	}
	return jb.Came.Add(jb.Offer.Wish.Slo)
}

// short reports whether another call waits for this one, which is wanted sooner than
// callers outside want any.
func short(jb *carobjob.Job) bool {
	return jb.Offer.Wish.Whole > 0 && jb.Offer.Wish.Whole <= shortSlo
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}
