package carobfold_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobfold"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrecordfetchreply"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// node is a node that runs only the fold.
type node struct {
	world *carobworld.World
	fold  *carobfold.System
}

func newNode() *node {
	return &node{
		world: carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}),
		fold:  carobfold.NewSystem(),
	}
}

// read runs a tick with records that were read from the log.
func (n *node) read(records ...carobrecord.Record) {
	n.world.BeginTick(carobinbox.Inbox{Records: records})
	n.fold.Run(n.world, 1)
}

// receiveRecordFetchReply runs a tick with records that another node sent.
func (n *node) receiveRecordFetchReply(reply carobrecordfetchreply.RecordFetchReply) {
	n.world.BeginTick(carobinbox.Inbox{Messages: []carobmessage.Message{{RecordFetchReply: &reply}}})
	n.fold.Run(n.world, 1)
}

// inForce returns the offset of the revision in force of each profile.
func (n *node) inForce() map[carobname.Name]caroboffset.Offset {
	all := map[carobname.Name]caroboffset.Offset{}
	for name, revision := range n.world.Profiles.All() {
		all[name] = revision.Offset
	}
	return all
}

func newRecord(offset caroboffset.Offset, data string) carobrecord.Record {
	return carobrecord.Record{Stream: carobstream.Profiles, Offset: offset, Data: []byte(data)}
}

func changeRecord(offset caroboffset.Offset, name carobname.Name, base caroboffset.Offset) carobrecord.Record {
	profile := carobprofile.NewProfile(name)
	profile.Base = base
	data, err := json.Marshal(carobchange.Change{Profile: profile, Who: "alma", When: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	return newRecord(offset, string(data))
}

func snapshotRecord(offset caroboffset.Offset, snapshot carobsnapshot.Snapshot) carobrecord.Record {
	data, err := json.Marshal(map[string]any{"snapshot": snapshot})
	if err != nil {
		panic(err)
	}
	return newRecord(offset, string(data))
}

// Guards against lost updates: of two changes made from the same revision, only
// the first in the log may win.
func TestChangeOnAnOldBaseHasNoEffect(t *testing.T) {
	n := newNode()
	n.read(changeRecord(0, "rota", -1), changeRecord(1, "rota", 0), changeRecord(2, "rota", 0), changeRecord(3, "rota", -1))
	require.Equal(t, map[carobname.Name]caroboffset.Offset{"rota": 1}, n.inForce())
	require.EqualValues(t, 3, n.world.ProfilesRead)
	result := n.world.Outbox.ChangeResults[2]
	require.False(t, result.Applied)
	require.EqualValues(t, 1, result.Previous.Offset)
	require.Len(t, n.world.Outbox.Audits, 2, "one audit entry for each change that came into force")
}

// Guards against a fold that stops, or goes wrong, at a record that cannot be
// decoded or that has an impossible snapshot.
func TestInvalidRecordsAreSkipped(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":                   "{",
		"no profile":                 `{"who": "alma"}`,
		"field out of bounds":        `{"profile": {"name": "rota", "tries": 1000}}`,
		"empty snapshot":             `{"snapshot": {}}`,
		"snapshot of its own offset": `{"snapshot": {"through": 1, "revisions": []}}`,
		"snapshot of a later offset": `{"snapshot": {"through": 9, "revisions": []}}`,
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode()
			n.read(changeRecord(0, "rota", -1), newRecord(1, data), changeRecord(2, "rota", 0))
			require.Equal(t, map[carobname.Name]caroboffset.Offset{"rota": 2}, n.inForce())
			require.EqualValues(t, 2, n.world.ProfilesRead)
		})
	}
}

// Guards against folding a change while a record before it is missing: the missing
// change decides whether the base of the later one is in force.
func TestRecordsAfterAGapWaitForTheMissingOnes(t *testing.T) {
	n := newNode()
	n.read(changeRecord(0, "rota", -1))
	n.read(changeRecord(2, "rota", 1), changeRecord(3, "rota", 2))
	require.EqualValues(t, 0, n.world.ProfilesRead, "the change at 1 may have come into force")
	n.receiveRecordFetchReply(carobrecordfetchreply.RecordFetchReply{Records: []carobrecord.Record{changeRecord(1, "rota", 0)}, ProfilesRead: 3})
	require.Equal(t, map[carobname.Name]caroboffset.Offset{"rota": 3}, n.inForce())
}

// Guards against a lost change when a snapshot is taken before the change and
// appended after it: neither a node that folded the change nor a node that starts
// at the record of the change may lose it.
func TestSnapshotDoesNotRevertAConcurrentChange(t *testing.T) {
	old := newNode()
	old.read(changeRecord(0, "rota", -1))
	racing := snapshotRecord(2, old.world.TakeSnapshot())
	records := []carobrecord.Record{changeRecord(1, "rota", 0), racing, changeRecord(3, "payouts", -1)}
	want := map[carobname.Name]caroboffset.Offset{"rota": 1, "payouts": 3}

	old.read(records...)
	require.Equal(t, want, old.inForce(), "the snapshot reverts nothing")
	fresh := newNode()
	fresh.read(records...)
	require.Equal(t, want, fresh.inForce(), "the change before the snapshot is not lost")
}

// Guards against a late message that sets a node back to an older revision.
func TestOldSnapshotFromAPeerIsIgnored(t *testing.T) {
	n := newNode()
	n.read(changeRecord(0, "rota", -1), changeRecord(1, "rota", 0))
	before := n.world.TakeSnapshot()
	n.read(changeRecord(2, "rota", 1))
	n.receiveRecordFetchReply(carobrecordfetchreply.RecordFetchReply{Snapshot: &before, ProfilesRead: 1})
	require.Equal(t, map[carobname.Name]caroboffset.Offset{"rota": 2}, n.inForce())
	require.EqualValues(t, 2, n.world.ProfilesRead)
}

// Guards against nodes with different profiles: a node that gets the records late,
// twice or out of order, or after the log has dropped the first ones, must end with
// the same profiles as a node that read them one by one.
func TestFoldDoesNotDependOnTheOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, reference := makeLog(t)
		n := newNode()
		from := firstReadable(t, log)
		order := rapid.Permutation(log[from:]).Draw(t, "order")
		read, offsets := n.world.ProfilesRead, n.inForce()
		for len(order) > 0 {
			size := rapid.IntRange(1, len(order)).Draw(t, "size")
			n.read(order[:size]...)
			if rapid.Bool().Draw(t, "again") {
				n.read(order[:size]...)
			}
			order = order[size:]
			require.GreaterOrEqual(t, n.world.ProfilesRead, read)
			for name, offset := range offsets {
				require.GreaterOrEqual(t, n.inForce()[name], offset)
			}
			read, offsets = n.world.ProfilesRead, n.inForce()
		}
		require.Equal(t, reference.inForce(), n.inForce())
		require.Equal(t, reference.world.ProfilesRead, n.world.ProfilesRead)
	})
}

// makeLog generates a log of changes with matching and other bases, invalid
// records, and snapshots that are appended some records late. It returns the log
// and a node that has read it record by record.
func makeLog(t *rapid.T) ([]carobrecord.Record, *node) {
	reference := newNode()
	var log []carobrecord.Record
	var snapshots []carobsnapshot.Snapshot
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		offset := caroboffset.Offset(i)
		name := carobname.Name(fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "name")))
		base := caroboffset.BeforeFirst
		if current, ok := reference.inForce()[name]; ok && rapid.IntRange(0, 3).Draw(t, "fits") > 0 {
			base = current
		}
		record := changeRecord(offset, name, base)
		switch choice := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case choice == 0:
			record = newRecord(offset, "broken")
		case choice <= 2 && len(snapshots) > 0:
			record = snapshotRecord(offset, snapshots[rapid.IntRange(max(0, len(snapshots)-4), len(snapshots)-1).Draw(t, "snapshot")])
		}
		log = append(log, record)
		reference.read(record)
		snapshots = append(snapshots, reference.world.TakeSnapshot())
	}
	return log, reference
}

// firstReadable chooses the first record that the log still keeps, so that a
// snapshot covers the records before it.
func firstReadable(t *rapid.T, log []carobrecord.Record) int {
	starts := []int{0}
	for _, record := range log {
		var decoded struct{ Snapshot *carobsnapshot.Snapshot }
		if json.Unmarshal(record.Data, &decoded) == nil && decoded.Snapshot != nil {
			starts = append(starts, int(decoded.Snapshot.LastOffset)+1)
		}
	}
	return rapid.SampledFrom(starts).Draw(t, "from")
}
