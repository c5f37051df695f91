// Package carobsnapshot holds what all profiles were at one place in the log.
package carobsnapshot

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
)

// Snapshot is the profiles in force after all records up to an offset. A node
// that cannot read those records any more starts from it.
type Snapshot struct {
	// Through is the last offset that is folded in. A snapshot in the log stands
	// behind it; the changes in between are not in the snapshot.
	Through caroboffset.Offset `json:"through"`
	// Revisions have different names, and offsets up to Through.
	Revisions []carobrevision.Revision `json:"revisions"`
}

// Check tells whether the snapshot can be one.
func (s Snapshot) Check() error {
	if s.Through < 0 {
		return carobkind.New(carobkind.Invalid, "snapshot: through %d", s.Through)
	}
	if len(s.Revisions) > carobrevision.Most {
		return carobkind.New(carobkind.Invalid, "snapshot: more than %d profiles", carobrevision.Most)
	}
	for _, rv := range s.Revisions {
		if err := rv.Change.Check(); err != nil {
			return err
		}
		if rv.Offset < 0 || rv.Offset > s.Through {
			return carobkind.New(carobkind.Invalid, "snapshot: revision %d is not up to %d", rv.Offset, s.Through)
		}
	}
	return nil
}
