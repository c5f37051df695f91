// Package carobquotalease holds the rows of nodes at an allocator.
package carobquotalease

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// QuotaLease is what an allocator keeps of a node: its lease, and the tokens that it may hold.
type QuotaLease struct {
	// Incarnation and Number are those of the newest request. Older ones are ignored.
	Incarnation carobincarnation.Incarnation
	Number      uint64
	// CountedUntil is when the lease ends; Never if the node lends nothing.
	CountedUntil carobinstant.Instant
	// Nodes is the number of nodes that the lender counts.
	Nodes int
	// Holdings are the tokens that the node may hold of each organisation until HoldingsEnd.
	Holdings    map[caroborganisationid.ID]int
	HoldingsEnd carobinstant.Instant
}

// Valid reports whether the node's share is lent.
func (q *QuotaLease) Valid(now carobinstant.Instant) bool {
	return now.Before(q.CountedUntil) && q.CountedUntil != carobinstant.Never
}
