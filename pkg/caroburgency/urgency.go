// Package caroburgency orders calls by how much it costs their callers if they are delayed or
// refused.
package caroburgency

import (
	"cmp"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Urgency is what the order of a call depends on.
type Urgency struct {
	// Late is true if the call can no longer be answered within its SLO.
	Late bool
	// Nested is true if another call waits for this one and holds a slot meanwhile.
	Nested bool
	// Behind is true if the organisation or the route of the call has lately had far fewer of
	// its calls served than the average.
	Behind bool
	// OrganisationPriority and RoutePriority are 0 for the highest priority.
	OrganisationPriority, RoutePriority int
	// Spent is true if resources have been spent on the call that a refusal wastes.
	Spent bool
	// StartBy is when the call has to start to be answered within its SLO, or by its deadline
	// if it has no SLO.
	StartBy carobinstant.Instant
	// RecentStarts is how many calls of the organisation have started lately.
	RecentStarts float64
	// ArrivedAt is when the call arrived.
	ArrivedAt carobinstant.Instant
}

// Compare returns a negative number if the call is more urgent than another one, a positive
// number if it is less urgent, and 0 if there is no difference.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(
		compareBools(other.Late, u.Late),
		compareBools(u.Nested, other.Nested),
		compareBools(u.Behind, other.Behind),
		cmp.Compare(u.OrganisationPriority, other.OrganisationPriority),
		cmp.Compare(u.RoutePriority, other.RoutePriority),
		compareBools(u.Spent, other.Spent),
		cmp.Compare(u.StartBy, other.StartBy),
		cmp.Compare(u.RecentStarts, other.RecentStarts),
		cmp.Compare(u.ArrivedAt, other.ArrivedAt),
	)
}

// compareBools returns a negative number if only a is true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
