// Package carobadmission controls admission to the node's own targets: it starts jobs
// while slots are free, queues jobs up to the queue limit, and refuses the rest.
package carobadmission

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
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

// Run handles the tick's health check results, offers and finished jobs, refuses
// expired jobs, starts queued jobs while slots are free, and publishes load reports.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	if w.Paused {
		withdrawQueued(w)
	}
	for _, result := range w.Inbox.CheckResults {
		handleCheckResult(w, now, result)
	}
	for _, of := range w.Inbox.Offers {
		handleOffer(w, now, of)
	}
	for _, fn := range w.Inbox.Finishes {
		handleFinish(w, now, fn)
	}
	expireQueued(w, now)
	for id, as := range w.AdmissionStates.All() {
		if as.Queued > 0 {
			refuseMovable(w, now, id, as)
			startQueued(w, now, id, as)
		}
	}
	publishReports(w)
}

// withdrawQueued refuses the jobs that were queued before the node was paused. Their
// callers may have disconnected in the meantime; callers that still wait send their
// calls again.
func withdrawQueued(w *carobworld.World) {
	for _, jb := range w.Jobs.All() {
		if jb.StartedAt == carobinstant.Never {
			carobfencing.RefuseQueued(w, jb, carobkind.Withdrawn)
		}
	}
}

// handleOffer refuses an offer, starts its job, or enqueues it. If the queue is then
// too long, its least urgent job is shed. Offers of a known job are ignored.
func handleOffer(w *carobworld.World, now carobinstant.Instant, of caroboffer.Offer) {
	if isDuplicate(w, of.Job) {
		return
	}
	tg := w.Targets.Get(of.Target)
	if kind := refusalKind(w, now, tg, of); kind != carobkind.None {
		refuse(w, of, kind)
		return
	}
	as := w.AdmissionStates.Get(of.Target)
	if as == nil || w.Jobs.Full() {
		refuse(w, of, carobkind.Busy)
		return
	}
	jb := w.Jobs.Put(of.Job, carobjob.Job{Offer: of, ArrivedAt: now, Deadline: now.Add(of.TimeLeft)})
	as.ReportDue = true
	as.Limit = jobLimit(as, now)
	if isNested(jb) {
		as.LastNestedAt = now
	}
	if as.Running < jobLimitFor(as, now, jb) && as.Queued == 0 && mayStart(w, now, tg, as) {
		startJob(w, now, jb, tg, as)
		return
	}
	as.Queued++
	if as.Queued > queueLimit(w, tg)+max(0, as.Limit-as.Running) {
		jb := leastUrgent(w, now, of.Target)
		shed(w, now, jb, as, "queue full")
	}
}

// shed refuses a queued job with kind Busy and records the reason as a decision.
func shed(w *carobworld.World, now carobinstant.Instant, jb *carobjob.Job, as *carobadmissionstate.AdmissionState, reason string) {
	w.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: reason, Request: jb.Offer.Requirements.Request, Call: jb.Offer.Job.Call,
		Attempt: jb.Offer.Job.Attempt, Target: jb.Offer.Target, Kind: carobkind.Busy, Inputs: decisionInputs(as, now, jb.ArrivedAt),
	})
	carobfencing.RefuseQueued(w, jb, carobkind.Busy)
}

// isDuplicate reports whether an offer of the job was accepted before. A duplicate
// offer is not refused, because a refusal states that the job did not run.
func isDuplicate(w *carobworld.World, job carobjobid.ID) bool {
	if w.Jobs.Get(job) != nil {
		return true
	}
	_, ok := w.EndedJobs.Get(job)
	return ok
}

// refusalKind returns the kind with which an offer is refused regardless of load, or
// None.
func refusalKind(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target, of caroboffer.Offer) carobkind.Kind {
	switch {
	case of.Incarnation != w.Self.Incarnation, tg == nil, !w.Owns(tg):
		return carobkind.Stale
	case w.Paused, carobfencing.IsFenced(w, of.Job):
		return carobkind.Withdrawn
	case w.Stopping, tg.Readiness == carobreadiness.Leaving:
		return carobkind.Leaving
	case of.TimeLeft <= 0:
		return carobkind.NotStartedInTime
	case of.Requirements.Guarantee != carobguarantee.Idempotent && w.ShutdownDeadline.Before(now.Add(of.TimeLeft)):
		// If the node exited before the response, the entry node could not find out
		// whether the job ran.
		return carobkind.Leaving
	default:
		return carobkind.None
	}
}

// queueLimit returns the queue length that the target's profile allows; 0 if the
// profile is unknown.
func queueLimit(w *carobworld.World, tg *carobtarget.Target) int {
	rv := w.Profiles.Get(tg.Profile)
	if rv == nil {
		return 0
	}
	return rv.Change.Profile.QueueLimit
}

// startJob marks the job as started and adds the start to the outbox.
func startJob(w *carobworld.World, now carobinstant.Instant, jb *carobjob.Job, tg *carobtarget.Target, as *carobadmissionstate.AdmissionState) {
	jb.StartedAt = now
	as.Running++
	w.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: "job started", Request: jb.Offer.Requirements.Request, Call: jb.Offer.Job.Call,
		Attempt: jb.Offer.Job.Attempt, Target: jb.Offer.Target, Inputs: decisionInputs(as, now, jb.ArrivedAt),
	})
	w.Outbox.Starts = append(w.Outbox.Starts, carobstart.Start{
		Job: jb.Offer.Job, Address: tg.Address, TimeLeft: jb.Deadline.Sub(now),
		Guarantee: jb.Offer.Requirements.Guarantee,
	})
}

// handleFinish removes a finished job, and records its latency and the slowness reading
// of the response. A job that is still queued is withdrawn.
func handleFinish(w *carobworld.World, now carobinstant.Instant, fn carobfinish.Finish) {
	jb := w.Jobs.Get(fn.Job)
	if jb == nil {
		return
	}
	as := w.AdmissionStates.Get(jb.Offer.Target)
	if jb.StartedAt == carobinstant.Never {
		carobfencing.RefuseQueued(w, jb, carobkind.Withdrawn)
		return
	}
	as.Running--
	as.ReportDue = true
	if load := fn.TargetLoad; load != nil {
		recordReading(as, now, load.Slowness)
	}
	as.Limit = jobLimit(as, now)
	updateLatency(as, jb.StartedAt, now)
	carobfencing.RecordEnded(w, fn)
	w.Jobs.Delete(fn.Job)
}

const (
	// latencyTimeConstant is the interval between starts over which the weight of the
	// previous estimate falls by at least a factor of e, independent of the number of
	// calls.
	latencyTimeConstant = 500 * time.Millisecond
	// earlierStartTimeConstant is the time before the newest start over which the
	// weight of a call that started earlier falls by a factor of e.
	earlierStartTimeConstant = 50 * time.Millisecond
)

// updateLatency adds the latency of a finished call to the target's moving average.
// Calls are weighted by their start, because a latency shows how fast the target was
// when the call started: slow calls of a short load spike end long after the spike and
// must not outweigh fast calls that started later. After an interval without calls the
// next call replaces nearly the whole estimate.
func updateLatency(as *carobadmissionstate.AdmissionState, started, now carobinstant.Instant) {
	const weight = 1.0 / 8
	duration, sinceNewest := float64(now.Sub(started)), started.Sub(as.LatencyStart)
	var share float64
	switch {
	case as.LatencyStart == carobinstant.Never:
		share = 1
	case sinceNewest < 0:
		share = weight * math.Exp(float64(sinceNewest)/float64(earlierStartTimeConstant))
	default:
		share = max(weight, 1-math.Exp(-float64(sinceNewest)/float64(latencyTimeConstant)))
	}
	as.Latency += time.Duration(share * (duration - float64(as.Latency)))
	if sinceNewest > 0 {
		as.LatencyStart = started
	}
}

// expireQueued refuses queued jobs whose deadline has passed, and those whose target is
// unknown or leaving.
func expireQueued(w *carobworld.World, now carobinstant.Instant) {
	for _, jb := range w.Jobs.All() {
		if jb.StartedAt != carobinstant.Never {
			continue
		}
		if tg := w.Targets.Get(jb.Offer.Target); tg == nil || tg.Readiness == carobreadiness.Leaving {
			carobfencing.RefuseQueued(w, jb, carobkind.Leaving)
			continue
		}
		if !jb.Deadline.Reached(now) {
			w.WakeAt(jb.Deadline)
			continue
		}
		carobfencing.RefuseQueued(w, jb, carobkind.NotStartedInTime)
	}
}

// startQueued starts the target's queued jobs, the most urgent first, while slots are
// free and the VM is not slow.
func startQueued(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, as *carobadmissionstate.AdmissionState) {
	tg := w.Targets.Get(id)
	for tg != nil && as.Queued > 0 && as.Running < as.Limit && mayStart(w, now, tg, as) {
		jb := mostUrgent(w, now, id)
		if jb == nil || as.Running >= jobLimitFor(as, now, jb) {
			return
		}
		as.Queued--
		as.ReportDue = true
		startJob(w, now, jb, tg, as)
	}
}

// refuse refuses an offer that was not enqueued.
func refuse(w *carobworld.World, of caroboffer.Offer, kind carobkind.Kind) {
	w.Outbox.Refusals = append(w.Outbox.Refusals, carobrefusal.Refusal{Job: of.Job, Kind: kind})
	w.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: "job refused", Request: of.Requirements.Request, Call: of.Job.Call,
		Attempt: of.Job.Attempt, Target: of.Target, Kind: kind,
	})
}

// decisionInputs returns the values that admission decisions are based on.
func decisionInputs(as *carobadmissionstate.AdmissionState, now, arrived carobinstant.Instant) []carobinput.Input {
	return []carobinput.Input{
		{Name: "running", Value: float64(as.Running)},
		{Name: "queued", Value: float64(as.Queued)},
		{Name: "limit", Value: float64(as.Limit)},
		{Name: "slowness", Value: as.Slowness},
		carobinput.Age("toldms", now, as.SlownessReadAt), carobinput.Age("waitedms", now, arrived),
	}
}

// publishReports adds a report to the outbox for each target whose load changed.
func publishReports(w *carobworld.World) {
	for id, as := range w.AdmissionStates.All() {
		if !as.ReportDue {
			continue
		}
		as.ReportDue = false
		w.Outbox.Reports = append(w.Outbox.Reports, carobreport.Report{
			Target: id, Running: as.Running, Queued: as.Queued, Slots: as.Limit, Latency: carobduration.Duration(as.Latency),
		})
	}
}
