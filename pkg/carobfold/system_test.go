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
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobsupply"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// node is a world with nothing but the fold.
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

func (n *node) read(records ...carobrecord.Record) {
	n.world.Begin(carobinbox.Inbox{Records: records})
	n.fold.Run(n.world, 1)
}

func (n *node) hear(sp carobsupply.Supply) {
	n.world.Begin(carobinbox.Inbox{Messages: []carobmessage.Message{{Supply: &sp}}})
	n.fold.Run(n.world, 1)
}

// inForce has the revision of each profile.
func (n *node) inForce() map[carobword.Word]caroboffset.Offset {
	all := map[carobword.Word]caroboffset.Offset{}
	for name, rv := range n.world.Profiles.All() {
		all[name] = rv.Offset
	}
	return all
}

func record(offset caroboffset.Offset, data string) carobrecord.Record {
	return carobrecord.Record{Stream: carobstream.Profiles, Offset: offset, Data: []byte(data)}
}

func change(offset caroboffset.Offset, name carobword.Word, base caroboffset.Offset) carobrecord.Record {
	pf := carobprofile.NewProfile(name)
	pf.Base = base
	data, err := json.Marshal(carobchange.Change{Profile: pf, Who: "alma", When: time.Unix(0, 0)})
	if err != nil {
		panic(err)
	}
	return record(offset, string(data))
}

func snapshot(offset caroboffset.Offset, sn carobsnapshot.Snapshot) carobrecord.Record {
	data, err := json.Marshal(map[string]any{"snapshot": sn})
	if err != nil {
		panic(err)
	}
	return record(offset, string(data))
}

func TestChangeOnAnOldBaseIsVoid(t *testing.T) {
	n := newNode()
	n.read(change(0, "rota", -1), change(1, "rota", 0), change(2, "rota", 0), change(3, "rota", -1))
	require.Equal(t, map[carobword.Word]caroboffset.Offset{"rota": 1}, n.inForce())
	require.EqualValues(t, 3, n.world.ProfilesRead)
	cr := n.world.Outbox.ChangeResults[2]
	require.False(t, cr.Won)
	require.EqualValues(t, 1, cr.Before.Offset)
	require.Len(t, n.world.Outbox.Audits, 2, "one entry in the audit trail for each change in force")
}

func TestBadRecordsArePassedOver(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":           "{",
		"no profile":         `{"who": "alma"}`,
		"a field too large":  `{"profile": {"name": "rota", "tries": 1000}}`,
		"an empty snapshot":  `{"snapshot": {}}`,
		"snapshot of itself": `{"snapshot": {"through": 1, "revisions": []}}`,
		"snapshot of later":  `{"snapshot": {"through": 9, "revisions": []}}`,
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode()
			n.read(change(0, "rota", -1), record(1, data), change(2, "rota", 0))
			require.Equal(t, map[carobword.Word]caroboffset.Offset{"rota": 2}, n.inForce())
			require.EqualValues(t, 2, n.world.ProfilesRead)
		})
	}
}

func TestNodeBehindAGapWaitsForTheRecords(t *testing.T) {
	n := newNode()
	n.read(change(0, "rota", -1))
	n.read(change(2, "rota", 1), change(3, "rota", 2))
	require.EqualValues(t, 0, n.world.ProfilesRead, "the change at 1 may have been a winning one")
	n.hear(carobsupply.Supply{Records: []carobrecord.Record{change(1, "rota", 0)}, Read: 3})
	require.Equal(t, map[carobword.Word]caroboffset.Offset{"rota": 3}, n.inForce())
}

func TestSnapshotThatRacesAChange(t *testing.T) {
	old := newNode()
	old.read(change(0, "rota", -1))
	raced := snapshot(2, old.world.TakeSnapshot())
	tail := []carobrecord.Record{change(1, "rota", 0), raced, change(3, "payouts", -1)}
	want := map[carobword.Word]caroboffset.Offset{"rota": 1, "payouts": 3}

	old.read(tail...)
	require.Equal(t, want, old.inForce(), "the snapshot takes nothing back")
	fresh := newNode()
	fresh.read(tail...)
	require.Equal(t, want, fresh.inForce(), "the change before the snapshot is not lost")
}

func TestSnapshotFromAPeerNeverLowersAnOffset(t *testing.T) {
	n := newNode()
	n.read(change(0, "rota", -1), change(1, "rota", 0))
	before := n.world.TakeSnapshot()
	n.read(change(2, "rota", 1))
	n.hear(carobsupply.Supply{Snapshot: &before, Read: 1})
	require.Equal(t, map[carobword.Word]caroboffset.Offset{"rota": 2}, n.inForce())
	require.EqualValues(t, 2, n.world.ProfilesRead)
}

// However records come (late, twice, out of order, the first ones expired), a
// node that has read them all has what a node has that read them one by one.
func TestFoldIsTheSameHoweverRecordsCome(t *testing.T) {
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

// makeLog makes a log of changes with fitting and other bases, bad records, and
// snapshots that are appended some records late.
func makeLog(t *rapid.T) ([]carobrecord.Record, *node) {
	reference := newNode()
	var log []carobrecord.Record
	var taken []carobsnapshot.Snapshot
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		offset := caroboffset.Offset(i)
		name := carobword.Word(fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "name")))
		base := caroboffset.None
		if current, ok := reference.inForce()[name]; ok && rapid.IntRange(0, 3).Draw(t, "fits") > 0 {
			base = current
		}
		rc := change(offset, name, base)
		switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case kind == 0:
			rc = record(offset, "broken")
		case kind <= 2 && len(taken) > 0:
			rc = snapshot(offset, taken[rapid.IntRange(max(0, len(taken)-4), len(taken)-1).Draw(t, "snapshot")])
		}
		log = append(log, rc)
		reference.read(rc)
		taken = append(taken, reference.world.TakeSnapshot())
	}
	return log, reference
}

// firstReadable picks a first record such that a snapshot makes up for those
// before it.
func firstReadable(t *rapid.T, log []carobrecord.Record) int {
	good := []int{0}
	for _, rc := range log {
		var en struct{ Snapshot *carobsnapshot.Snapshot }
		if json.Unmarshal(rc.Data, &en) == nil && en.Snapshot != nil {
			good = append(good, int(en.Snapshot.Through)+1)
		}
	}
	return rapid.SampledFrom(good).Draw(t, "from")
}
