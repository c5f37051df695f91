// Package carobrevision holds the rows of the profiles in force.
package carobrevision

import (
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// Most is the most profiles that can be in force. It is the same on every node,
// since a change that passes it is void.
const Most = 1000

// Revision is the profile in force under a name.
type Revision struct {
	// Change is the one that won.
	Change carobchange.Change `json:"change"`
	// Offset is the place of the change in the log. It never goes down.
	Offset caroboffset.Offset `json:"offset"`
}
