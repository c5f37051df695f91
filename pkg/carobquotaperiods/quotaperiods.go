// Package carobquotaperiods holds the times that the lending of quotas follows.
package carobquotaperiods

import "time"

// QuotaPeriods are the times that a node and its allocator follow. They grow with the number of
// nodes, so that an allocator does not get more requests a second.
type QuotaPeriods struct {
	// Renewal is the time between two requests of a node, unless a call waits for a token.
	Renewal time.Duration
	// Lease is how long a share is lent after the clock reading that the lease was requested
	// with. It is several times Renewal, since a slow node may miss a renewal.
	Lease time.Duration
	// TokenLifetime is how long a node may use tokens after it sent the request that brought or
	// renewed them, and how long an allocator counts them after its reply.
	TokenLifetime time.Duration
}

const (
	// minRenewal limits what a small fleet spends on renewals. The leases that follow from it
	// are short, because after a restart no node may use its share until those of the processes
	// before are over.
	minRenewal = 250 * time.Millisecond
	// renewalPerNode lets an allocator get about 330 renewals a second at most.
	renewalPerNode = 3 * time.Millisecond
	// renewalsPerLease is the number of renewals in a lease.
	renewalsPerLease = 4
	// MinTokenLifetime is the lifetime of tokens in a small fleet.
	MinTokenLifetime = 2 * time.Second
)

// Of returns the periods in a fleet in which a node counts so many nodes; 0 if it does not say.
func Of(nodes int) QuotaPeriods {
	renewal := max(minRenewal, time.Duration(nodes)*renewalPerNode)
	lease := renewalsPerLease * renewal
	return QuotaPeriods{Renewal: renewal, Lease: lease, TokenLifetime: max(MinTokenLifetime, lease)}
}
