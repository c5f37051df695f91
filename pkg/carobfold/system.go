// Package carobfold turns the changes in the log into the profiles in force.
//
// The fold is the same on every node: records are folded in the order of their
// offsets and none is left out. A change whose base is not the revision in force
// is void, and so is a record that cannot be decoded.
//
// Records come from the log and from other nodes, in any order and more than
// once. Those that come too early are held back until the gap before them is
// closed: by the missing records, or by a snapshot that reaches past the gap. A
// snapshot that does not reach past what was read says nothing new; so one that
// was made before a change and appended after it undoes nothing.
package carobfold

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// patience is how long a node that starts waits for the log. What one node has
// read reaches the others in less, so after it no node that still runs has more.
const patience = 5 * time.Second

// System folds the records of the stream of profiles.
type System struct {
	// until is when the node stops waiting for the log; Never before the first tick.
	until carobinstant.Instant
	// met says that the node has read the log to its end, or waits no more.
	met bool
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// entry is a record of the stream: a change, or a snapshot.
type entry struct {
	Snapshot *carobsnapshot.Snapshot `json:"snapshot"`
}

// Run folds in the records that have come.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		if ms.Supply == nil {
			continue
		}
		if ms.Supply.Snapshot != nil {
			adopt(w, ms.Supply.Snapshot)
		}
		for _, rc := range ms.Supply.Records {
			take(w, rc)
		}
	}
	for _, rc := range w.Inbox.Records {
		if rc.Stream == carobstream.Profiles {
			take(w, rc)
		}
	}
	s.meet(w, now)
}

// meet keeps a node that starts from using profiles that its predecessor on the
// VM may have seen replaced already.
func (s *System) meet(w *carobworld.World, now carobinstant.Instant) {
	if s.until == carobinstant.Never {
		s.until = now.Add(patience)
	}
	for _, mk := range w.Inbox.Marks {
		if mk.Stream == carobstream.Profiles && w.ProfilesRead+1 >= mk.Next {
			s.met = true
		}
	}
	s.met = s.met || s.until.Reached(now)
	w.Behind = !s.met
	if w.Behind {
		w.WakeAt(s.until)
	}
}

// take folds a record in, or holds it back until those before it have come.
func take(w *carobworld.World, rc carobrecord.Record) {
	if rc.Offset <= w.ProfilesRead {
		return
	}
	hold(w, rc)
	if sn := snapshotOf(rc); sn != nil {
		w.Snapshot = max(w.Snapshot, rc.Offset)
		w.SnapshotThrough = max(w.SnapshotThrough, sn.Through)
		adopt(w, sn)
	}
	for {
		next := w.HeldChanges.Get(w.ProfilesRead + 1)
		if next == nil {
			return
		}
		fold(w, *next)
	}
}

// hold keeps a record until its turn. If there are too many, the lowest goes: a
// later snapshot makes up for it, or another node has it.
func hold(w *carobworld.World, rc carobrecord.Record) {
	if w.HeldChanges.Full() {
		lowest := rc.Offset
		for offset := range w.HeldChanges.All() {
			lowest = min(lowest, offset)
		}
		w.HeldChanges.Delete(lowest)
	}
	w.HeldChanges.Put(rc.Offset, rc)
}

// snapshotOf returns the snapshot in a record, or nil if it has none or one that
// cannot be: it would stand before a record that it holds.
func snapshotOf(rc carobrecord.Record) *carobsnapshot.Snapshot {
	var en entry
	if json.Unmarshal(rc.Data, &en) != nil || en.Snapshot == nil {
		return nil
	}
	if en.Snapshot.Check() != nil || en.Snapshot.Through >= rc.Offset {
		return nil
	}
	return en.Snapshot
}

// adopt starts from a snapshot that reaches further than what was read.
func adopt(w *carobworld.World, sn *carobsnapshot.Snapshot) {
	if sn.Through <= w.ProfilesRead {
		return
	}
	w.ProfilesRead = sn.Through
	for offset := range w.HeldChanges.All() {
		if offset <= sn.Through {
			w.HeldChanges.Delete(offset)
		}
	}
	for offset := range w.Changes.All() {
		w.Changes.Delete(offset)
	}
	for _, rv := range sn.Revisions {
		old := w.Profiles.Get(rv.Change.Profile.Name)
		if old == nil || old.Offset < rv.Offset {
			w.Profiles.Put(rv.Change.Profile.Name, rv)
			audit(w, rv)
		}
	}
}

// fold takes the next record in.
func fold(w *carobworld.World, rc carobrecord.Record) {
	w.HeldChanges.Delete(rc.Offset)
	w.ProfilesRead = rc.Offset
	if w.Changes.Full() {
		w.Changes.Delete(rc.Offset - caroboffset.Offset(w.Changes.Len()))
	}
	w.Changes.Put(rc.Offset, rc)
	var ch carobchange.Change
	if snapshotOf(rc) != nil || json.Unmarshal(rc.Data, &ch) != nil {
		return
	}
	cr := judge(w, carobrevision.Revision{Change: ch, Offset: rc.Offset})
	w.Outbox.ChangeResults = append(w.Outbox.ChangeResults, cr)
}

// judge brings a change into force if its base is the revision in force.
func judge(w *carobworld.World, rv carobrevision.Revision) carobchangeresult.ChangeResult {
	name := rv.Change.Profile.Name
	cr := carobchangeresult.ChangeResult{Change: rv.Change, Offset: rv.Offset}
	cr.Before.Offset = caroboffset.None
	if old := w.Profiles.Get(name); old != nil {
		cr.Before = *old
	}
	cr.Won = rv.Change.Profile.Base == cr.Before.Offset && w.Profiles.Put(name, rv) != nil
	if cr.Won {
		audit(w, rv)
	}
	return cr
}
