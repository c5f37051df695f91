package carobadmission

import (
	"cmp"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// maxNestedSLO is the longest SLO with which a call counts as nested, that is, made by
// a job that holds a slot until the call is answered.
const maxNestedSLO = 200 * time.Millisecond

// mostUrgent returns the queued job that the target starts next; nil if none is queued.
func mostUrgent(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	return selectQueued(world, id, func(a, b *carobjob.Job) bool { return compareUrgency(now, a, b) < 0 })
}

// leastUrgent returns the queued job that the target sheds next; nil if none is queued.
func leastUrgent(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	return selectQueued(world, id, func(a, b *carobjob.Job) bool { return compareUrgency(now, a, b) > 0 })
}

// selectQueued returns the target's queued job that precedes all others; nil if none is
// queued.
func selectQueued(world *carobworld.World, id carobtargetid.ID, precedes func(a, b *carobjob.Job) bool) *carobjob.Job {
	var best *carobjob.Job
	for _, job := range world.Jobs.All() {
		if job.Offer.Target != id || job.StartedAt != carobinstant.Never {
			continue
		}
		if best == nil || precedes(job, best) {
			best = job
		}
	}
	return best
}

// compareUrgency orders queued jobs by urgency, the more urgent first. The order
// matters when the load exceeds the target's capacity:
//
//   - calls that can still meet their SLO precede those that cannot;
//   - nested calls precede others, because the job that made the call holds a slot
//     until the call is answered. A nested call is never late: without its response
//     the outer call fails too, which may still be in time;
//   - then the lower priority number of the organisation precedes, then that of the route,
//     then the earlier due time, then the earlier arrival.
func compareUrgency(now carobinstant.Instant, a, b *carobjob.Job) int {
	return cmp.Or(
		cmp.Compare(boolToInt(isLate(now, a)), boolToInt(isLate(now, b))),
		cmp.Compare(boolToInt(!isNested(a)), boolToInt(!isNested(b))),
		cmp.Compare(a.Offer.Requirements.OrganisationPriority, b.Offer.Requirements.OrganisationPriority),
		cmp.Compare(a.Offer.Requirements.Priority, b.Offer.Requirements.Priority),
		cmp.Compare(dueAt(a), dueAt(b)),
		cmp.Compare(a.ArrivedAt, b.ArrivedAt),
	)
}

// isLate reports whether the job has missed its SLO. Nested calls and calls without an
// SLO are never late.
func isLate(now carobinstant.Instant, job *carobjob.Job) bool {
	return job.Offer.Requirements.SLO > 0 && !isNested(job) && dueAt(job).Reached(now)
}

// dueAt returns when the response is due by the caller's SLO, or the deadline if the
// call has no SLO.
func dueAt(job *carobjob.Job) carobinstant.Instant {
	if job.Offer.Requirements.SLO == 0 {
		return job.Deadline
	}
	return job.ArrivedAt.Add(job.Offer.Requirements.SLOTimeLeft)
}

// isNested reports whether another job waits for this call. Nested calls are identified
// by their SLO, which is shorter than that of any external caller.
func isNested(job *carobjob.Job) bool {
	return job.Offer.Requirements.SLO > 0 && job.Offer.Requirements.SLO <= maxNestedSLO
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
