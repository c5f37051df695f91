// Package carobgroup holds the rows of the services that a node knows.
package carobgroup

import (
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Group is the targets of one service.
type Group struct {
	// Profile is the one that most targets picked; of several, the first by name.
	Profile carobword.Word
	// Targets are in the order of their names.
	Targets []carobtargetid.ID
	// View has the targets that this node keeps in view, if they are not all.
	View []carobtargetid.ID
}
