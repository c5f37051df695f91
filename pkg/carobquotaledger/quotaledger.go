// Package carobquotaledger accumulates the share of all quotas that is lent to an allocator.
package carobquotaledger

import "github.com/carobknot/carobknot/pkg/carobinstant"

// QuotaLedger is the account of the shares that nodes lend to this one. The tokens that a
// bucket gained between two instants are its rate times the difference of Credit, so that
// buckets are filled only when they are used.
type QuotaLedger struct {
	// Share is the share of all quotas that is lent now, from 0 to 1.
	Share float64
	// Leases is the number of nodes that Share comes from.
	Leases int
	// Credit is the integral of Share over time up to AdvancedAt, in seconds.
	Credit     float64
	AdvancedAt carobinstant.Instant
	// NextExpiry is an instant before which no lease and no holding ends; Never if there are
	// none.
	NextExpiry carobinstant.Instant
}

// Advance adds the credit of the time since the last call.
func (q *QuotaLedger) Advance(now carobinstant.Instant) {
	if q.AdvancedAt != carobinstant.Never {
		q.Credit += q.Share * max(0, now.Sub(q.AdvancedAt).Seconds())
	}
	q.AdvancedAt = now
}
