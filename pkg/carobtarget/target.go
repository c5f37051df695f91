// Package carobtarget holds the rows of the table of targets.
package carobtarget

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Target is the identity, address and announced properties of a target. Its
// load is in the table of loads and, for the node's own targets, in the table
// of admission states.
type Target struct {
	ID carobtargetid.ID `json:"id"`
	// Node is the node on the target's VM. All calls to the target pass through
	// it.
	Node carobnodeid.ID `json:"node"`
	// Address is known only to the target's own node; empty on others.
	Address carobaddress.Address `json:"-"`
	// Profile is the name of the routing profile that the target announced.
	Profile carobname.Name `json:"profile"`
	// Slots is the number of calls that the target runs at once, at least 1.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts, at least 1.
	Connections int `json:"conns"`
	// Readiness states whether the target accepts new work.
	Readiness carobreadiness.Readiness `json:"state"`
	// AnnouncedAt is when the newest announcement was received; Never on other nodes.
	AnnouncedAt carobinstant.Instant `json:"-"`
}

// MaxSlots is the maximum of Slots and Connections.
const MaxSlots = 1 << 20
