package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallclass"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/caroburgency"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// byUrgency is the order of deployments with organisations.
type byUrgency struct{}

func (byUrgency) compare(world *carobworld.World, now carobinstant.Instant, a, b *carobjob.Job) int {
	return urgencyOf(world, now, a).Compare(urgencyOf(world, now, b))
}

// mayWait refuses a job that cannot be answered within its SLO by the estimated work of its
// class and of the jobs before it. The entry node then still has time to send it elsewhere, or to
// refuse its caller early. A job without an estimate, and one that is late already, may wait: no
// other target would answer the latter in time, and a late answer may still be of use.
func (byUrgency) mayWait(world *carobworld.World, now carobinstant.Instant, state *carobadmissionstate.AdmissionState, job *carobjob.Job) bool {
	work := workOf(world, job)
	if job.Offer.Requirements.SLO <= 0 || isNested(job) || work == 0 || dueAt(job).Reached(now) {
		return true
	}
	precedes := 1
	for _, other := range world.Jobs.All() {
		if other != job && other.Offer.Target == job.Offer.Target && other.StartedAt == carobinstant.Never && (byUrgency{}).compare(world, now, other, job) < 0 {
			precedes++
		}
	}
	wait := time.Duration(float64(state.Latency) * float64(precedes) / float64(max(1, state.Limit)))
	return !dueAt(job).Reached(now.Add(wait + work))
}

// urgencyOf returns what the order of a queued job depends on.
func urgencyOf(world *carobworld.World, now carobinstant.Instant, job *carobjob.Job) caroburgency.Urgency {
	required := &job.Offer.Requirements
	startBy := dueAt(job).Add(-workOf(world, job))
	urgency := caroburgency.Urgency{
		Late:   required.SLO > 0 && !isNested(job) && startBy.Reached(now),
		Nested: isNested(job), Behind: required.Behind,
		OrganisationPriority: required.OrganisationPriority, RoutePriority: required.Priority,
		Spent: isSpent(world, job), StartBy: startBy, ArrivedAt: job.ArrivedAt,
	}
	if starts := world.OrganisationStarts.Get(required.Organisation); starts != nil {
		urgency.RecentStarts = starts.Recent(now)
	}
	return urgency
}

// isSpent reports whether resources have been spent on a job: an earlier attempt at its call, or
// the transfer of its body from another data centre.
func isSpent(world *carobworld.World, job *carobjob.Job) bool {
	if job.Offer.Job.Attempt > 1 {
		return true
	}
	peer := world.Peers.Get(job.Offer.Job.Call.Node)
	return peer != nil && peer.Member.Centre != world.Self.Centre
}

// classOf returns the class of calls that a job belongs to.
func classOf(job *carobjob.Job) carobcallclass.CallClass {
	required := &job.Offer.Requirements
	return carobcallclass.CallClass{Service: job.Offer.Target.Service, Priority: required.Priority, SLO: required.SLO}
}

// workOf returns the estimated time that a target takes for a job; 0 if it is not known.
func workOf(world *carobworld.World, job *carobjob.Job) time.Duration {
	if estimate := world.WorkEstimates.Get(classOf(job)); estimate != nil {
		return *estimate
	}
	return 0
}

// recordWork updates the estimate with the time that a target took for a job.
func recordWork(world *carobworld.World, now carobinstant.Instant, job *carobjob.Job) {
	const weight = 1.0 / 8
	took := now.Sub(job.StartedAt)
	if estimate := world.WorkEstimates.Get(classOf(job)); estimate != nil {
		*estimate += time.Duration(weight * float64(took-*estimate))
		return
	}
	world.WorkEstimates.Put(classOf(job), took)
}
