package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// maxNestedSLO is the longest SLO with which a call counts as nested, that is, made by
// a job that holds a slot until the call is answered.
const maxNestedSLO = 200 * time.Millisecond

// order decides which queued jobs of a target start first and which are shed first.
type order interface {
	// compare returns a negative number if job a precedes job b.
	compare(world *carobworld.World, now carobinstant.Instant, a, b *carobjob.Job) int
	// mayWait reports whether a job that cannot start at once may be queued.
	mayWait(world *carobworld.World, now carobinstant.Instant, state *carobadmissionstate.AdmissionState, job *carobjob.Job) bool
}

// orders has the orders that Config.Order names.
var orders = map[string]order{"arrival": byArrival{}, "deadline": byDeadline{}, "priority": byPriority{}, "urgency": byUrgency{}}

// orderOf returns the order that is in force.
func (s *System) orderOf(world *carobworld.World) order {
	if chosen, ok := orders[s.config.Order]; ok {
		return chosen
	}
	if world.RequiresKey() {
		return byUrgency{}
	}
	return byPriority{}
}

// mostUrgent returns the queued job that the target starts next; nil if none is queued.
func (s *System) mostUrgent(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	inForce := s.orderOf(world)
	return selectQueued(world, id, func(a, b *carobjob.Job) bool { return inForce.compare(world, now, a, b) < 0 })
}

// leastUrgent returns the queued job that the target sheds next; nil if none is queued.
func (s *System) leastUrgent(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) *carobjob.Job {
	inForce := s.orderOf(world)
	return selectQueued(world, id, func(a, b *carobjob.Job) bool { return inForce.compare(world, now, a, b) > 0 })
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
