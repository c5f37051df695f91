// Package carobstorerecovery detects that the store was restored from an earlier copy.
//
// The store names its era in each response. A node that does not read the store hears of a new
// era from other nodes: heartbeats name the sender's, and for a minute after a rise all messages
// do. Other systems act on World.StoreRestored, which is true in the tick in which a restore
// becomes known. A restore may have lost whatever the store acknowledged before.
package carobstorerecovery

import (
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System keeps the newest era of the store that is known.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes over higher eras. It has to run before the systems that write to the store.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	world.StoreRestored = false
	for _, era := range world.Inbox.StoreEras {
		if era < world.StoreEra {
			// Another node named a later era before the store's first response to this node
			// arrived. What that response acknowledged may be lost.
			world.StoreRestored = true
		}
		raise(world, now, era, "store")
	}
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		raise(world, now, message.StoreEra, string(message.From))
	}
}

// raise takes over an era if it is higher than the one known. The first one that becomes known
// does not show a restore.
func raise(world *carobworld.World, now carobinstant.Instant, era carobstoreera.Era, from string) {
	if era <= world.StoreEra {
		return
	}
	if world.StoreEra != carobstoreera.None {
		world.StoreRestored, world.StoreRestoredAt = true, now
		const base = 10
		world.Audit("store", from, "era", strconv.FormatInt(world.StoreEra.Number(), base), strconv.FormatInt(era.Number(), base))
	}
	world.StoreEra = era
}
