// Package carobrevision holds the rows of the profiles in force.
package carobrevision

import (
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// MaxProfiles is the maximum number of profiles in force. It must be the same on
// every node, because a change that would exceed it has no effect.
const MaxProfiles = 1000

// Revision is the change of a profile that is in force.
type Revision struct {
	// Change is the change that came into force.
	Change carobchange.Change `json:"change"`
	// Offset is the offset of the change in the log, or BeforeFirst for a profile
	// that did not come from the log. It never decreases.
	Offset caroboffset.Offset `json:"offset"`
}
