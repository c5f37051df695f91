// Package carobadmission stands before the node's own targets: it starts jobs
// while slots are free, queues a few, and refuses the rest.
package carobadmission

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System admits jobs to the node's own targets.
type System struct {
	// touched has the targets whose load changed in this tick, in order.
	touched []carobtargetid.ID
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes in offers and finishes, and starts what fits.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.touched = s.touched[:0]
	for _, of := range w.Inbox.Offers {
		s.offer(w, now, of)
	}
	for _, fn := range w.Inbox.Finishes {
		s.finish(w, now, fn)
	}
	s.expire(w, now)
	for id, gt := range w.Gates.All() {
		if gt.Queued > 0 {
			s.drain(w, now, id, gt)
		}
	}
	s.report(w)
}

func (s *System) offer(w *carobworld.World, now carobinstant.Instant, of caroboffer.Offer) {
	tg := w.Targets.Get(of.Target)
	if kind := objection(w, tg, of); kind != carobkind.None {
		refuse(w, of.Job, kind)
		return
	}
	jb := w.Jobs.Put(of.Job, carobjob.Job{Offer: of, Came: now, Deadline: now.Add(of.Patience)})
	if jb == nil {
		refuse(w, of.Job, carobkind.Busy)
		return
	}
	s.touch(of.Target)
	gt := w.Gates.Get(of.Target)
	if gt.Running < gt.Limit && gt.Queued == 0 {
		start(w, now, jb, tg, gt)
		return
	}
	if gt.Queued >= queueLimit(w, tg) {
		w.Jobs.Delete(of.Job)
		refuse(w, of.Job, carobkind.Busy)
		return
	}
	gt.Queued++
}

// objection returns why an offer cannot be taken at all, or None.
func objection(w *carobworld.World, tg *carobtarget.Target, of caroboffer.Offer) carobkind.Kind {
	switch {
	case of.Incarnation != w.Self.Incarnation, tg == nil, !w.Owns(tg):
		return carobkind.Stale
	case w.Stopping, tg.State == carobreadiness.Leaving:
		return carobkind.Leaving
	case of.Patience <= 0:
		return carobkind.Late
	default:
		return carobkind.None
	}
}

func queueLimit(w *carobworld.World, tg *carobtarget.Target) int {
	rv := w.Profiles.Get(tg.Profile)
	if rv == nil {
		return 0
	}
	return rv.Change.Profile.Queue
}

func start(w *carobworld.World, now carobinstant.Instant, jb *carobjob.Job, tg *carobtarget.Target, gt *carobgate.Gate) {
	jb.Started = now
	gt.Running++
	w.Outbox.Starts = append(w.Outbox.Starts, carobstart.Start{
		Job: jb.Offer.Job, Address: tg.Address, Patience: jb.Deadline.Sub(now),
	})
}

func (s *System) finish(w *carobworld.World, now carobinstant.Instant, fn carobfinish.Finish) {
	jb := w.Jobs.Get(fn.Job)
	if jb == nil {
		return
	}
	gt := w.Gates.Get(jb.Offer.Target)
	s.touch(jb.Offer.Target)
	if jb.Started == carobinstant.Never {
		gt.Queued--
	} else {
		gt.Running--
		learn(gt, now, now.Sub(jb.Started))
	}
	w.Jobs.Delete(fn.Job)
}

// latencyMemory is the time after which an old latency counts for less by a
// factor of e, however few calls came since.
const latencyMemory = 500 * time.Millisecond

// learn moves the estimated latency towards a new one. After a time without
// calls one counts for nearly all: else a target that was slow once would need
// many calls, which it does not get, to lose its bad name.
func learn(gt *carobgate.Gate, now carobinstant.Instant, took time.Duration) {
	const weight = 1.0 / 8
	share := max(weight, 1-math.Exp(-float64(now.Sub(gt.Learned))/float64(latencyMemory)))
	if gt.Learned == carobinstant.Never {
		share = 1
	}
	gt.Latency += time.Duration(share * float64(took-gt.Latency))
	gt.Learned = now
}

// expire refuses queued jobs whose deadline has come.
func (s *System) expire(w *carobworld.World, now carobinstant.Instant) {
	for id, jb := range w.Jobs.All() {
		if jb.Started != carobinstant.Never {
			continue
		}
		if !jb.Deadline.Reached(now) {
			w.WakeAt(jb.Deadline)
			continue
		}
		s.unqueue(w, id, jb, carobkind.Late)
	}
}

func (s *System) unqueue(w *carobworld.World, id carobjobid.ID, jb *carobjob.Job, kind carobkind.Kind) {
	w.Gates.Get(jb.Offer.Target).Queued--
	s.touch(jb.Offer.Target)
	w.Jobs.Delete(id)
	refuse(w, id, kind)
}

// drain starts queued jobs, the earliest deadline first, while slots are free.
func (s *System) drain(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, gt *carobgate.Gate) {
	tg := w.Targets.Get(id)
	for tg != nil && gt.Queued > 0 && gt.Running < gt.Limit {
		jb := mostUrgent(w, id)
		if jb == nil {
			return
		}
		gt.Queued--
		s.touch(id)
		start(w, now, jb, tg, gt)
	}
}

func mostUrgent(w *carobworld.World, id carobtargetid.ID) *carobjob.Job {
	var best *carobjob.Job
	for _, jb := range w.Jobs.All() {
		if jb.Offer.Target != id || jb.Started != carobinstant.Never {
			continue
		}
		if best == nil || jb.Deadline.Before(best.Deadline) {
			best = jb
		}
	}
	return best
}

func refuse(w *carobworld.World, job carobjobid.ID, kind carobkind.Kind) {
	w.Outbox.Refusals = append(w.Outbox.Refusals, carobrefusal.Refusal{Job: job, Kind: kind})
}

func (s *System) touch(id carobtargetid.ID) {
	s.touched = append(s.touched, id)
}

// report publishes the load of the targets that this tick touched.
func (s *System) report(w *carobworld.World) {
	for _, id := range s.touched {
		gt := w.Gates.Get(id)
		if gt == nil {
			continue
		}
		w.Outbox.Reports = append(w.Outbox.Reports, carobreport.Report{
			Target: id, Running: gt.Running, Queued: gt.Queued, Slots: gt.Limit, Latency: carobspan.Span(gt.Latency),
		})
	}
}
