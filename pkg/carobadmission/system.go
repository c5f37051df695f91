// Package carobadmission controls admission to the node's own targets: it starts jobs
// while slots are free, queues jobs up to the queue limit, and refuses the rest.
package carobadmission

import (
	"math"
	"net/http"
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
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// Order is the name of an order of jobs, for measurements; empty for the one that the route
	// table calls for.
	Order string
}

// System admits jobs to the node's own targets.
type System struct {
	config Config
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run handles the tick's health check results, offers and finished jobs, refuses
// expired jobs, starts queued jobs while slots are free, and publishes load reports.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if world.Paused {
		withdrawQueued(world)
	}
	for _, result := range world.Inbox.CheckResults {
		handleCheckResult(world, now, result)
	}
	for id, state := range world.AdmissionStates.All() {
		if world.Paused {
			state.ForgetWarmth(now)
		}
		updateColdLimit(world, now, id, state)
	}
	for _, offer := range world.Inbox.Offers {
		s.handleOffer(world, now, offer)
	}
	for _, finish := range world.Inbox.Finishes {
		handleFinish(world, now, finish)
	}
	expireQueued(world, now)
	for id, state := range world.AdmissionStates.All() {
		if state.Queued > 0 {
			refuseMovable(world, now, id, state)
			s.startQueued(world, now, id, state)
		}
	}
	publishReports(world)
}

// withdrawQueued refuses the jobs that were queued before the node was paused. Their
// callers may have disconnected in the meantime; callers that still wait send their
// calls again.
func withdrawQueued(world *carobworld.World) {
	for _, job := range world.Jobs.All() {
		if job.StartedAt == carobinstant.Never {
			carobfencing.RefuseQueued(world, job, carobkind.Withdrawn)
		}
	}
}

// handleOffer refuses an offer, or adds its job. Offers of a known job are ignored.
func (s *System) handleOffer(world *carobworld.World, now carobinstant.Instant, offer caroboffer.Offer) {
	if isDuplicate(world, offer.Job) {
		return
	}
	target := world.Targets.Get(offer.Target)
	if kind := refusalKind(world, now, target, offer); kind != carobkind.None {
		refuse(world, offer, kind)
		return
	}
	state := world.AdmissionStates.Get(offer.Target)
	if state == nil || world.Jobs.Full() {
		refuse(world, offer, carobkind.Busy)
		return
	}
	job := world.Jobs.Put(offer.Job, carobjob.Job{Offer: offer, ArrivedAt: now, Deadline: now.Add(offer.TimeLeft)})
	state.ReportDue = true
	state.Limit = jobLimit(state, now)
	adoptRateLimit(world, now, offer.Target, state, offer.RateLimit)
	if isNested(job) {
		state.LastNestedAt = now
	}
	s.startOrEnqueue(world, now, target, state, job)
}

// startOrEnqueue starts a job that has just arrived, or enqueues it. If the queue is then
// longer than the profile's queue limit plus the free slots, or than the rate limit will
// soon allow to start, its least urgent job is shed.
func (s *System) startOrEnqueue(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target, state *carobadmissionstate.AdmissionState, job *carobjob.Job) {
	if state.Running < jobLimitFor(state, now, job) && state.Queued == 0 && hasToken(world, now, state, isNested(job)) && mayStart(world, now, target, state) {
		startJob(world, now, job, target, state)
		return
	}
	state.Queued++
	switch {
	case state.Queued > queueLimit(world, target)+max(0, state.Limit-state.Running):
		shed(world, now, s.leastUrgent(world, now, target.ID), state, "queue full")
	case !s.orderOf(world).mayWait(world, now, state, job):
		shed(world, now, job, state, "cannot be served in time")
	case state.CallLimit() > 0 && state.Queued > tokensSoon(state, now):
		shed(world, now, s.leastUrgent(world, now, target.ID), state, limitReason(state))
	}
}

// shed refuses a queued job with kind Busy and records the reason as a decision.
func shed(world *carobworld.World, now carobinstant.Instant, job *carobjob.Job, state *carobadmissionstate.AdmissionState, reason string) {
	world.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: reason, Request: job.Offer.Requirements.Request, Organisation: job.Offer.Requirements.Organisation, Call: job.Offer.Job.Call,
		Attempt: job.Offer.Job.Attempt, Target: job.Offer.Target, Kind: carobkind.Busy, Inputs: decisionInputs(world, state, now, job),
	})
	carobfencing.RefuseQueued(world, job, carobkind.Busy)
}

// isDuplicate reports whether an offer of the job was accepted before. A duplicate
// offer is not refused, because a refusal states that the job did not run.
func isDuplicate(world *carobworld.World, job carobjobid.ID) bool {
	if world.Jobs.Get(job) != nil {
		return true
	}
	_, ok := world.EndedJobs.Get(job)
	return ok
}

// refusalKind returns the kind with which an offer is refused regardless of load, or
// None.
func refusalKind(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target, offer caroboffer.Offer) carobkind.Kind {
	switch {
	case offer.Incarnation != world.Self.Incarnation, target == nil, !world.Owns(target):
		return carobkind.Stale
	case world.Paused, carobfencing.IsFenced(world, offer.Job):
		return carobkind.Withdrawn
	case world.Stopping, startsNothing(world, target):
		return carobkind.Leaving
	case offer.TimeLeft <= 0:
		return carobkind.NotStartedInTime
	case offer.Requirements.Guarantee != carobguarantee.Idempotent && world.ShutdownDeadline.Before(now.Add(offer.TimeLeft)):
		// If the node exited before the response, the entry node could not find out
		// whether the job ran.
		return carobkind.Leaving
	default:
		return carobkind.None
	}
}

// queueLimit returns the queue length that the target's profile allows; 0 if the
// profile is unknown.
func queueLimit(world *carobworld.World, target *carobtarget.Target) int {
	revision := world.Profiles.Get(target.Profile)
	if revision == nil {
		return 0
	}
	return revision.Change.Profile.QueueLimit
}

// startJob marks the job as started and adds the start to the outbox.
func startJob(world *carobworld.World, now carobinstant.Instant, job *carobjob.Job, target *carobtarget.Target, state *carobadmissionstate.AdmissionState) {
	job.StartedAt = now
	state.Running++
	recordStart(state, now)
	if id := job.Offer.Requirements.Organisation; id != "" {
		carobworld.AddDemand(world.OrganisationStarts, now, id, true)
	}
	world.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: "job started", Request: job.Offer.Requirements.Request, Call: job.Offer.Job.Call,
		Attempt: job.Offer.Job.Attempt, Target: job.Offer.Target, Inputs: decisionInputs(world, state, now, job),
	})
	world.Outbox.Starts = append(world.Outbox.Starts, carobstart.Start{
		Job: job.Offer.Job, Address: target.Address, TimeLeft: job.Deadline.Sub(now),
		Guarantee: job.Offer.Requirements.Guarantee, Organisation: job.Offer.Requirements.Organisation,
	})
}

// handleFinish removes a finished job, and records its latency and the slowness reading
// of the response. A job that is still queued is withdrawn.
func handleFinish(world *carobworld.World, now carobinstant.Instant, finish carobfinish.Finish) {
	job := world.Jobs.Get(finish.Job)
	if job == nil {
		return
	}
	state := world.AdmissionStates.Get(job.Offer.Target)
	handleDirective(world, now, job.Offer.Target, state, world.DirectiveOf(job, finish))
	if job.StartedAt == carobinstant.Never {
		carobfencing.RefuseQueued(world, job, carobkind.Withdrawn)
		return
	}
	state.Running--
	state.ReportDue = true
	if load := finish.TargetLoad; load != nil && load.Slowness > 0 {
		recordReading(world, now, job.Offer.Target, state, load.Slowness)
	}
	state.Limit = jobLimit(state, now)
	updateLatency(state, job.StartedAt, now)
	if finish.Kind == carobkind.None && finish.Status < http.StatusInternalServerError && world.RequiresKey() {
		recordWork(world, now, job)
	}
	if finish.Kind == carobkind.Unreachable {
		// The target may restart, and answer before its first announcement.
		state.ForgetWarmth(now)
	}
	carobfencing.RecordEnded(world, finish)
	world.Jobs.Delete(finish.Job)
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
func updateLatency(state *carobadmissionstate.AdmissionState, started, now carobinstant.Instant) {
	const weight = 1.0 / 8
	duration, sinceNewest := float64(now.Sub(started)), started.Sub(state.LatencyStart)
	var share float64
	switch {
	case state.LatencyStart == carobinstant.Never:
		share = 1
	case sinceNewest < 0:
		share = weight * math.Exp(float64(sinceNewest)/float64(earlierStartTimeConstant))
	default:
		share = max(weight, 1-math.Exp(-float64(sinceNewest)/float64(latencyTimeConstant)))
	}
	state.Latency += time.Duration(share * (duration - float64(state.Latency)))
	if sinceNewest > 0 {
		state.LatencyStart = started
	}
}

// expireQueued refuses queued jobs whose deadline has passed, and those whose target is
// unknown, leaving or evacuated.
func expireQueued(world *carobworld.World, now carobinstant.Instant) {
	for _, job := range world.Jobs.All() {
		if job.StartedAt != carobinstant.Never {
			continue
		}
		if target := world.Targets.Get(job.Offer.Target); target == nil || startsNothing(world, target) {
			carobfencing.RefuseQueued(world, job, carobkind.Leaving)
			continue
		}
		if !job.Deadline.Reached(now) {
			world.WakeAt(job.Deadline)
			continue
		}
		carobfencing.RefuseQueued(world, job, carobkind.NotStartedInTime)
	}
}

// startQueued starts the target's queued jobs, the most urgent first, while slots are
// free and the VM is not slow.
func (s *System) startQueued(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState) {
	target := world.Targets.Get(id)
	for target != nil && state.Queued > 0 && state.Running < state.Limit && hasToken(world, now, state, true) && mayStart(world, now, target, state) {
		job := s.mostUrgent(world, now, id)
		if job == nil || state.Running >= jobLimitFor(state, now, job) || !hasToken(world, now, state, isNested(job)) {
			return
		}
		state.Queued--
		state.ReportDue = true
		startJob(world, now, job, target, state)
	}
}

// refuse refuses an offer that was not enqueued.
func refuse(world *carobworld.World, offer caroboffer.Offer, kind carobkind.Kind) {
	world.Outbox.Refusals = append(world.Outbox.Refusals, carobrefusal.Refusal{Job: offer.Job, Kind: kind})
	world.RecordDecision(carobdecision.Decision{
		Component: "admit", Text: "job refused", Request: offer.Requirements.Request, Organisation: offer.Requirements.Organisation, Call: offer.Job.Call,
		Attempt: offer.Job.Attempt, Target: offer.Target, Kind: kind,
	})
}

// decisionInputs returns the values that admission decisions are based on.
func decisionInputs(world *carobworld.World, state *carobadmissionstate.AdmissionState, now carobinstant.Instant, job *carobjob.Job) []carobinput.Input {
	inputs := []carobinput.Input{
		{Name: "running", Value: float64(state.Running)},
		{Name: "queued", Value: float64(state.Queued)},
		{Name: "limit", Value: float64(state.Limit)},
		{Name: "rate", Value: float64(state.RateLimit)},
		{Name: "slowness", Value: state.Slowness},
		carobinput.Age("toldms", now, state.SlownessReadAt), carobinput.Age("waitedms", now, job.ArrivedAt),
	}
	if state.ColdRate > 0 {
		inputs = append(inputs, carobinput.Input{Name: "cold", Value: float64(state.ColdLimit)})
	}
	if world.RequiresKey() {
		inputs = append(inputs,
			carobinput.Input{Name: "behind", Value: float64(boolToInt(job.Offer.Requirements.Behind))},
			carobinput.Input{Name: "workms", Value: float64(workOf(world, job).Milliseconds())},
			carobinput.Input{Name: "duems", Value: float64(dueAt(job).Sub(now).Milliseconds())},
		)
	}
	return inputs
}

// publishReports adds a report to the outbox for each target whose load changed.
func publishReports(world *carobworld.World) {
	for id, state := range world.AdmissionStates.All() {
		if !state.ReportDue {
			continue
		}
		state.ReportDue = false
		world.Outbox.Reports = append(world.Outbox.Reports, carobreport.Report{
			Target: id, Running: state.Running, Queued: state.Queued, Slots: state.Limit, Latency: carobduration.Duration(state.Latency),
			RateLimit: state.CallLimit(), ColdLimit: state.ColdLimit,
		})
	}
}
