// Package carobevacuation holds the rows of the table of evacuations.
package carobevacuation

import (
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

// Evacuation states whether the operator asks that no call be sent to targets of a data
// centre, as of a position in the store.
type Evacuation struct {
	Centre carobcentre.Centre `json:"centre"`
	Active bool               `json:"active,omitempty"`
	// Era and Offset are the position as of which this is known: all records below Offset
	// were taken into account.
	Era    carobstoreera.Era  `json:"era,omitempty"`
	Offset caroboffset.Offset `json:"offset"`
	// ChangedAt is when this node learned that Active has changed, or that another node has
	// an older state; Never if neither happened.
	ChangedAt carobinstant.Instant `json:"-"`
	// AbsentSince is since when reads of this node's own have found no record of an
	// evacuation that is active; Never if the newest one found it.
	AbsentSince carobinstant.Instant `json:"-"`
	// KnownCheckAt is when to check whether a node of the data centre is known; Never if
	// there is nothing to check.
	KnownCheckAt carobinstant.Instant `json:"-"`
}

// MaxRows is the maximum number of rows of the table and in a message.
const MaxRows = 64

// Check returns an error of kind Invalid if a field is out of bounds.
func (e *Evacuation) Check() error {
	if err := carobname.Name(e.Centre).Check("evacuation"); err != nil {
		return err
	}
	if e.Offset < 0 {
		return carobkind.New(carobkind.Invalid, "evacuation of %s: negative offset", e.Centre)
	}
	return nil
}

// Supersedes reports whether this state of a data centre replaces another one: it is known as
// of a later position. At the same position, not being evacuated replaces being evacuated, so
// that all nodes settle on one of two readings that should not differ.
func (e *Evacuation) Supersedes(other *Evacuation) bool {
	switch {
	case e.Era != other.Era:
		return e.Era > other.Era
	case e.Offset != other.Offset:
		return e.Offset > other.Offset
	default:
		return !e.Active && other.Active
	}
}
