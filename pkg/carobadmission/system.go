// Package carobadmission stands before the node's own targets: it starts jobs
// while slots are free, queues a few, and refuses the rest.
package carobadmission

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobonce"
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
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes in offers and finishes, and starts what fits.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	if w.Paused {
		withdrawAll(w)
	}
	for _, hl := range w.Inbox.Healths {
		takeHealth(w, now, hl)
	}
	for _, of := range w.Inbox.Offers {
		offer(w, now, of)
	}
	for _, fn := range w.Inbox.Finishes {
		finish(w, now, fn)
	}
	expire(w, now)
	for id, gt := range w.Gates.All() {
		if gt.Queued > 0 {
			moveOn(w, now, id, gt)
			drain(w, now, id, gt)
		}
	}
	report(w)
}

// withdrawAll refuses the jobs that were queued before a pause. Their callers
// may be gone since; those that are not place their calls again.
func withdrawAll(w *carobworld.World) {
	for _, jb := range w.Jobs.All() {
		if jb.Started == carobinstant.Never {
			carobfencing.Withdraw(w, jb, carobkind.Withdrawn)
		}
	}
}

func offer(w *carobworld.World, now carobinstant.Instant, of caroboffer.Offer) {
	if known(w, of.Job) {
		return
	}
	tg := w.Targets.Get(of.Target)
	if kind := refusalOf(w, now, tg, of); kind != carobkind.None {
		refuse(w, of, kind)
		return
	}
	gt := w.Gates.Get(of.Target)
	if gt == nil || w.Jobs.Full() {
		refuse(w, of, carobkind.Busy)
		return
	}
	jb := w.Jobs.Put(of.Job, carobjob.Job{Offer: of, Came: now, Deadline: now.Add(of.Patience)})
	gt.Changed = true
	gt.Limit = limit(gt, now)
	if short(jb) {
		gt.Awaited = now
	}
	if gt.Running < room(gt, now, jb) && gt.Queued == 0 && mayStart(w, now, tg, gt) {
		start(w, now, jb, tg, gt)
		return
	}
	gt.Queued++
	if gt.Queued > queueLimit(w, tg)+max(0, gt.Limit-gt.Running) {
		jb := leastUrgent(w, now, of.Target)
		giveWay(w, now, jb, gt, "queue full")
	}
}

// giveWay refuses a queued job that there is no room for.
func giveWay(w *carobworld.World, now carobinstant.Instant, jb *carobjob.Job, gt *carobgate.Gate, why string) {
	w.Decide(carobdecision.Decision{
		Part: "admit", Text: why, Request: jb.Offer.Wish.Request, Call: jb.Offer.Job.Call,
		Attempt: jb.Offer.Job.Attempt, Target: jb.Offer.Target, Kind: carobkind.Busy, Inputs: inputs(gt, now, jb.Came),
	})
	carobfencing.Withdraw(w, jb, carobkind.Busy)
}

// known reports whether the offer of a job came before, so that this one is a
// copy. A copy gets no refusal, which would say that the job did not run.
func known(w *carobworld.World, job carobjobid.ID) bool {
	if w.Jobs.Get(job) != nil {
		return true
	}
	_, ok := w.Ended.Get(job)
	return ok
}

// refusalOf returns why an offer cannot be taken at all, or None.
func refusalOf(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target, of caroboffer.Offer) carobkind.Kind {
	switch {
	case of.Incarnation != w.Self.Incarnation, tg == nil, !w.Owns(tg):
		return carobkind.Stale
	case w.Paused, carobfencing.Fenced(w, of.Job):
		return carobkind.Withdrawn
	case w.Stopping, tg.State == carobreadiness.Leaving:
		return carobkind.Leaving
	case of.Patience <= 0:
		return carobkind.Late
	case of.Wish.Once != carobonce.No && w.Ending.Before(now.Add(of.Patience)):
		// If the node ends before its answer, nobody can tell whether it ran.
		return carobkind.Leaving
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
	w.Decide(carobdecision.Decision{
		Part: "admit", Text: "job started", Request: jb.Offer.Wish.Request, Call: jb.Offer.Job.Call,
		Attempt: jb.Offer.Job.Attempt, Target: jb.Offer.Target, Inputs: inputs(gt, now, jb.Came),
	})
	w.Outbox.Starts = append(w.Outbox.Starts, carobstart.Start{
		Job: jb.Offer.Job, Address: tg.Address, Patience: jb.Deadline.Sub(now),
		Once: jb.Offer.Wish.Once,
	})
}

func finish(w *carobworld.World, now carobinstant.Instant, fn carobfinish.Finish) {
	jb := w.Jobs.Get(fn.Job)
	if jb == nil {
		return
	}
	gt := w.Gates.Get(jb.Offer.Target)
	if jb.Started == carobinstant.Never {
		carobfencing.Withdraw(w, jb, carobkind.Withdrawn)
		return
	}
	gt.Running--
	gt.Changed = true
	if ps := fn.Pressure; ps != nil {
		takeReading(gt, now, ps.Slowness)
	}
	gt.Limit = limit(gt, now)
	learn(gt, jb.Started, now)
	carobfencing.Remember(w, fn)
	w.Jobs.Delete(fn.Job)
}

const (
	// latencyMemory is the time after which an old latency counts for less by a
	// factor of e, however few calls came since.
	latencyMemory = 500 * time.Millisecond
	// latencyNews is how much longer ago than the newest one a call may have
	// started to count, again by a factor of e.
	latencyNews = 50 * time.Millisecond
)

// learn moves the estimated latency towards that of a call. What a call tells is
// how fast the target was when it started: the slow calls of a short jump of
// load end long after it, and must not outweigh those that started later and
// were fast. After a time without calls one counts for nearly all.
func learn(gt *carobgate.Gate, started, now carobinstant.Instant) {
	const weight = 1.0 / 8
	took, later := float64(now.Sub(started)), started.Sub(gt.Learned)
	var share float64
	switch {
	case gt.Learned == carobinstant.Never:
		share = 1
	case later < 0:
		share = weight * math.Exp(float64(later)/float64(latencyNews))
	default:
		share = max(weight, 1-math.Exp(-float64(later)/float64(latencyMemory)))
	}
	gt.Latency += time.Duration(share * (took - float64(gt.Latency)))
	if later > 0 {
		gt.Learned = started
	}
}

// expire refuses queued jobs whose deadline has come, or whose target leaves.
func expire(w *carobworld.World, now carobinstant.Instant) {
	for _, jb := range w.Jobs.All() {
		if jb.Started != carobinstant.Never {
			continue
		}
		if tg := w.Targets.Get(jb.Offer.Target); tg == nil || tg.State == carobreadiness.Leaving {
			carobfencing.Withdraw(w, jb, carobkind.Leaving)
			continue
		}
		if !jb.Deadline.Reached(now) {
			w.WakeAt(jb.Deadline)
			continue
		}
		carobfencing.Withdraw(w, jb, carobkind.Late)
	}
}

// drain starts queued jobs, the most urgent first, while slots are free.
func drain(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, gt *carobgate.Gate) {
	tg := w.Targets.Get(id)
	for tg != nil && gt.Queued > 0 && gt.Running < gt.Limit && mayStart(w, now, tg, gt) {
		jb := mostUrgent(w, now, id)
		if jb == nil || gt.Running >= room(gt, now, jb) {
			return
		}
		gt.Queued--
		gt.Changed = true
		start(w, now, jb, tg, gt)
	}
}

func refuse(w *carobworld.World, of caroboffer.Offer, kind carobkind.Kind) {
	w.Outbox.Refusals = append(w.Outbox.Refusals, carobrefusal.Refusal{Job: of.Job, Kind: kind})
	w.Decide(carobdecision.Decision{
		Part: "admit", Text: "job refused", Request: of.Wish.Request, Call: of.Job.Call,
		Attempt: of.Job.Attempt, Target: of.Target, Kind: kind,
	})
}

// inputs are the figures that admission goes by.
func inputs(gt *carobgate.Gate, now, came carobinstant.Instant) []carobinput.Input {
	return []carobinput.Input{
		{Name: "running", Value: float64(gt.Running)},
		{Name: "queued", Value: float64(gt.Queued)},
		{Name: "limit", Value: float64(gt.Limit)},
		{Name: "slowness", Value: gt.Slowness},
		carobinput.Age("toldms", now, gt.Told), carobinput.Age("waitedms", now, came),
	}
}

// report publishes the load of the targets whose load changed.
func report(w *carobworld.World) {
	for id, gt := range w.Gates.All() {
		if !gt.Changed {
			continue
		}
		gt.Changed = false
		w.Outbox.Reports = append(w.Outbox.Reports, carobreport.Report{
			Target: id, Running: gt.Running, Queued: gt.Queued, Slots: gt.Limit, Latency: carobspan.Span(gt.Latency),
		})
	}
}
