// Package carobfold turns the changes in the log into the profiles in force.
//
// The fold is the same on every node: in the order of the log, a change whose
// base is not the revision in force is void.
package carobfold

import (
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System folds the records of the stream of profiles.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run folds in the records that have come.
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	for _, rc := range w.Inbox.Records {
		if rc.Stream == carobstream.Profiles && rc.Offset > w.ProfilesRead {
			w.ProfilesRead = rc.Offset
			fold(w, rc)
		}
	}
}

func fold(w *carobworld.World, rc carobrecord.Record) {
	var ch carobchange.Change
	if json.Unmarshal(rc.Data, &ch) != nil {
		return
	}
	base := caroboffset.None
	if rv := w.Profiles.Get(ch.Profile.Name); rv != nil {
		base = rv.Offset
	}
	if ch.Profile.Base != base {
		return
	}
	w.Profiles.Put(ch.Profile.Name, carobrevision.Revision{Change: ch, Offset: rc.Offset})
}
