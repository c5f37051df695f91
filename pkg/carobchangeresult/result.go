// Package carobchangeresult holds the results of the changes in the log.
package carobchangeresult

import (
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
)

// ChangeResult is the result of folding one change.
type ChangeResult struct {
	Change carobchange.Change
	// Offset is the offset of the change in the log.
	Offset caroboffset.Offset
	// Applied is true if the change came into force.
	Applied bool
	// Previous is the revision that was in force when the change was folded; its
	// offset is BeforeFirst if there was none. If the change did not come into
	// force, this revision stays in force.
	Previous carobrevision.Revision
}
