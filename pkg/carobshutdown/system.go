// Package carobshutdown stops a node gracefully.
package carobshutdown

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// SettleTimeout is how long a node with nothing in flight waits for the new homes of its
	// calls' idempotency keys to receive the outcomes of those calls.
	SettleTimeout time.Duration
	// QuietPeriod is the time without offers after which a node with nothing in flight stops.
	// It ensures that no attempt is still on its way to the node when it stops.
	QuietPeriod time.Duration
}

// System stops the node once a stop was requested and nothing is in flight. The request
// is in the world from the start of its tick, so that no system starts new work in that
// tick.
type System struct {
	config Config
	// idleSince is the time since which nothing has been in flight; Never while
	// something is or no stop was requested.
	idleSince carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run orders the node to stop once there have been no calls, jobs and offers for QuietPeriod,
// or for SettleTimeout if there are pending settlements.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if !world.Stopping || world.Calls.Len() > 0 || world.Jobs.Len() > 0 || len(world.Inbox.Offers) > 0 {
		s.idleSince = carobinstant.Never
		return
	}
	if s.idleSince == carobinstant.Never {
		s.idleSince = now
	}
	due := s.idleSince.Add(s.config.QuietPeriod)
	if world.PendingSettlements.Len() > 0 {
		due = s.idleSince.Add(s.config.SettleTimeout)
	}
	if world.Outbox.Stopped = due.Reached(now); !world.Outbox.Stopped {
		world.WakeAt(due)
	}
}
