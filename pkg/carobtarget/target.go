// Package carobtarget holds the rows of the targets that a node knows.
package carobtarget

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Target is what a node knows of a target: who it is and where. Its load stands
// in the table of loads, and, if it is the node's own, in the table of gates.
type Target struct {
	ID carobtargetid.ID `json:"id"`
	// Node runs on the target's VM. All calls for the target pass it.
	Node carobnodeid.ID `json:"node"`
	// Address is known to the target's own node only.
	Address carobaddress.Address `json:"-"`
	// Profile is the routing profile that the service picked.
	Profile carobword.Word `json:"profile"`
	// Slots is at least 1.
	Slots int `json:"slots"`
	// Conns is at least 1.
	Conns int `json:"conns"`
	// State says whether the target takes new work.
	State carobreadiness.Readiness `json:"state"`
	// Heard is when the target last announced itself; Never on other nodes.
	Heard carobinstant.Instant `json:"-"`
}
