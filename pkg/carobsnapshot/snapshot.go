// Package carobsnapshot holds the state of all profiles at one offset of the log.
package carobsnapshot

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
)

// Snapshot contains the profiles in force after all records up to an offset. A node
// starts from it if the log no longer keeps those records.
type Snapshot struct {
	// LastOffset is the offset of the last record that the snapshot includes. The
	// record of the snapshot has a higher offset; changes between the two are not
	// included.
	LastOffset caroboffset.Offset `json:"through"`
	// Revisions holds the revision in force of each profile. Their offsets are at
	// most LastOffset.
	Revisions []carobrevision.Revision `json:"revisions"`
}

// Check returns an Invalid error if an offset or a change is out of bounds, or if
// there are too many revisions.
func (s Snapshot) Check() error {
	if s.LastOffset < 0 {
		return carobkind.New(carobkind.Invalid, "snapshot: through is %d, must be at least 0", s.LastOffset)
	}
	if len(s.Revisions) > carobrevision.MaxProfiles {
		return carobkind.New(carobkind.Invalid, "snapshot: more than %d profiles", carobrevision.MaxProfiles)
	}
	for _, revision := range s.Revisions {
		if err := revision.Change.Check(); err != nil {
			return err
		}
		if revision.Offset < 0 || revision.Offset > s.LastOffset {
			return carobkind.New(carobkind.Invalid, "snapshot: revision %d is not between 0 and %d", revision.Offset, s.LastOffset)
		}
	}
	return nil
}
