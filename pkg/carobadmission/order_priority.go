package carobadmission

import (
	"cmp"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// byPriority is the order of deployments whose callers need no API key. It
// matters when the load exceeds the target's capacity:
//
//   - calls that can still meet their SLO precede those that cannot;
//   - nested calls precede others, because the job that made the call holds a slot
//     until the call is answered. A nested call is never late: without its response
//     the outer call fails too, which may still be in time;
//   - then the lower priority number of the organisation precedes, then that of the route,
//     then the earlier due time, then the earlier arrival.
type byPriority struct{}

func (byPriority) compare(_ *carobworld.World, now carobinstant.Instant, a, b *carobjob.Job) int {
	return cmp.Or(
		cmp.Compare(boolToInt(isLate(now, a)), boolToInt(isLate(now, b))),
		cmp.Compare(boolToInt(!isNested(a)), boolToInt(!isNested(b))),
		cmp.Compare(a.Offer.Requirements.OrganisationPriority, b.Offer.Requirements.OrganisationPriority),
		cmp.Compare(a.Offer.Requirements.Priority, b.Offer.Requirements.Priority),
		cmp.Compare(dueAt(a), dueAt(b)),
		cmp.Compare(a.ArrivedAt, b.ArrivedAt),
	)
}

func (byPriority) mayWait(*carobworld.World, carobinstant.Instant, *carobadmissionstate.AdmissionState, *carobjob.Job) bool {
	return true
}
