// Package carobfold folds the changes in the log into the profiles in force.
//
// Every node gets the same result: it folds records in the order of their offsets
// and skips none. A change whose base is not the revision in force has no effect,
// and neither has a record that cannot be decoded.
//
// Records arrive from the log and from other nodes, in any order and more than
// once. Records after a gap are buffered until the gap is closed, either by the
// missing records or by a snapshot that covers it. A snapshot that covers no more
// than what was already folded is ignored, so that a snapshot taken before a
// change and appended after it does not revert the change.
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

// startTimeout is how long a starting node waits for the log. Records that one node
// has read reach the other nodes in less time, so after it no running node has
// records that this node lacks.
const startTimeout = 5 * time.Second

// System folds the records of the profiles stream.
type System struct {
	// waitEnd is when the node stops waiting for the log; Never before the first
	// tick.
	waitEnd carobinstant.Instant
	// caughtUp is true once the node has read the log to its end, or has stopped
	// waiting for it.
	caughtUp bool
}

// NewSystem returns a system that has not caught up with the log yet.
func NewSystem() *System {
	return &System{}
}

// snapshotRecord is a record of the stream that contains a snapshot. In a record
// that contains a change, Snapshot is nil.
type snapshotRecord struct {
	Snapshot *carobsnapshot.Snapshot `json:"snapshot"`
}

// Run folds the records that arrived from other nodes and from the log.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, message := range world.Inbox.Messages {
		if message.RecordFetchReply == nil {
			continue
		}
		if message.RecordFetchReply.Snapshot != nil {
			adoptSnapshot(world, message.RecordFetchReply.Snapshot)
		}
		for _, record := range message.RecordFetchReply.Records {
			receive(world, record)
		}
	}
	for _, record := range world.Inbox.Records {
		if record.Stream == carobstream.Profiles {
			receive(world, record)
		}
	}
	s.checkCaughtUp(world, now)
}

// checkCaughtUp sets AwaitingLog until the node has read the log to its end or
// startTimeout has passed. This prevents a starting node from using profiles that
// its predecessor on the VM may already have seen replaced.
func (s *System) checkCaughtUp(world *carobworld.World, now carobinstant.Instant) {
	if s.waitEnd == carobinstant.Never {
		s.waitEnd = now.Add(startTimeout)
	}
	for _, bounds := range world.Inbox.StreamBounds {
		if bounds.Stream == carobstream.Profiles && bounds.AtEnd && world.ProfilesRead+1 >= bounds.Next {
			s.caughtUp = true
		}
	}
	s.caughtUp = s.caughtUp || s.waitEnd.Reached(now)
	world.AwaitingLog = !s.caughtUp
	if world.AwaitingLog {
		world.WakeAt(s.waitEnd)
	}
}

// receive buffers a record and folds all buffered records that follow without a
// gap. A snapshot in a record is adopted at once, also if it closes a gap.
func receive(world *carobworld.World, record carobrecord.Record) {
	if record.Offset <= world.ProfilesRead {
		return
	}
	buffer(world, record)
	if snapshot := snapshotOf(record); snapshot != nil {
		world.SnapshotOffset = max(world.SnapshotOffset, record.Offset)
		world.SnapshotLastOffset = max(world.SnapshotLastOffset, snapshot.LastOffset)
		adoptSnapshot(world, snapshot)
	}
	for {
		next := world.ChangesAfterGap.Get(world.ProfilesRead + 1)
		if next == nil {
			return
		}
		foldRecord(world, *next)
	}
}

// buffer stores a record until all records before it have been folded. If the
// buffer is full, it drops the record with the lowest offset: a later snapshot
// covers it, or another node can supply it.
func buffer(world *carobworld.World, record carobrecord.Record) {
	if world.ChangesAfterGap.Full() {
		lowest := record.Offset
		for offset := range world.ChangesAfterGap.All() {
			lowest = min(lowest, offset)
		}
		world.ChangesAfterGap.Delete(lowest)
	}
	world.ChangesAfterGap.Put(record.Offset, record)
}

// snapshotOf returns the snapshot in a record, or nil if the record has none or an
// invalid one, such as one that covers the offset of its own record or a later one.
func snapshotOf(record carobrecord.Record) *carobsnapshot.Snapshot {
	var decoded snapshotRecord
	if json.Unmarshal(record.Data, &decoded) != nil || decoded.Snapshot == nil {
		return nil
	}
	if decoded.Snapshot.Check() != nil || decoded.Snapshot.LastOffset >= record.Offset {
		return nil
	}
	return decoded.Snapshot
}

// adoptSnapshot replaces the folded state by a snapshot, if it covers records that
// have not been folded. It drops the folded records that are kept for other nodes,
// since those have to follow each other without gaps.
func adoptSnapshot(world *carobworld.World, snapshot *carobsnapshot.Snapshot) {
	if snapshot.LastOffset <= world.ProfilesRead {
		return
	}
	world.ProfilesRead = snapshot.LastOffset
	for offset := range world.ChangesAfterGap.All() {
		if offset <= snapshot.LastOffset {
			world.ChangesAfterGap.Delete(offset)
		}
	}
	for offset := range world.RecentChanges.All() {
		world.RecentChanges.Delete(offset)
	}
	for _, revision := range snapshot.Revisions {
		current := world.Profiles.Get(revision.Change.Profile.Name)
		if current == nil || current.Offset < revision.Offset {
			world.Profiles.Put(revision.Change.Profile.Name, revision)
			addAudit(world, revision)
		}
	}
}

// foldRecord folds the next record, and keeps it for other nodes that lack it.
func foldRecord(world *carobworld.World, record carobrecord.Record) {
	world.ChangesAfterGap.Delete(record.Offset)
	world.ProfilesRead = record.Offset
	if world.RecentChanges.Full() {
		world.RecentChanges.Delete(record.Offset - caroboffset.Offset(world.RecentChanges.Len()))
	}
	world.RecentChanges.Put(record.Offset, record)
	var change carobchange.Change
	if snapshotOf(record) != nil || json.Unmarshal(record.Data, &change) != nil {
		return
	}
	result := applyChange(world, carobrevision.Revision{Change: change, Offset: record.Offset})
	world.Outbox.ChangeResults = append(world.Outbox.ChangeResults, result)
}

// applyChange brings a change into force if its base is the revision in force and
// there is room for the profile.
func applyChange(world *carobworld.World, revision carobrevision.Revision) carobchangeresult.ChangeResult {
	name := revision.Change.Profile.Name
	result := carobchangeresult.ChangeResult{Change: revision.Change, Offset: revision.Offset}
	result.Previous.Offset = caroboffset.BeforeFirst
	if current := world.Profiles.Get(name); current != nil {
		result.Previous = *current
	}
	result.Applied = revision.Change.Profile.Base == result.Previous.Offset && world.Profiles.Put(name, revision) != nil
	if result.Applied {
		addAudit(world, revision)
	}
	return result
}
