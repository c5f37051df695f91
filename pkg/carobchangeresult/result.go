// Package carobchangeresult says what became of the changes in the log.
package carobchangeresult

import (
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
)

// ChangeResult is the end of one change.
type ChangeResult struct {
	Change carobchange.Change
	// Offset is the place of the change in the log.
	Offset caroboffset.Offset
	// Won says that the change came into force.
	Won bool
	// Before is the revision that was in force when the change was folded in; its
	// offset is None if there was none. If the change did not win, this is the
	// winner.
	Before carobrevision.Revision
}
