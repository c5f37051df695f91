// Package carobgroup holds the rows of the table of services.
package carobgroup

import (
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Group has the targets of one service.
type Group struct {
	// Profile is the name that most targets of the service announce; of several, the first
	// in the order of names.
	Profile carobname.Name
	// Targets are sorted by name.
	Targets []carobtargetid.ID
	// Subset is the subset of Targets that this node sends to; empty if it sends
	// to all.
	Subset []carobtargetid.ID
}
