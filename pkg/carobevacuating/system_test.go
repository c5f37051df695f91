package carobevacuating_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobclockbound"
	"github.com/carobknot/carobknot/pkg/carobevacuating"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobloadprobe"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	here  = carobcentre.Centre("here")
	there = carobcentre.Centre("there")
	// hold is how long an evacuation stays in force at most after its record is missing.
	hold = 5 * time.Second
)

// rig is a node with two peers in its data centre and two in another.
type rig struct {
	world  *carobworld.World
	system *carobevacuating.System
	now    carobinstant.Instant
	// reader is true if the node reads the store for its data centre.
	reader bool
}

func newRig() *rig {
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "self", Incarnation: 1, Centre: here, PeerAddress: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(),
	})
	for node, centre := range map[carobnodeid.ID]carobcentre.Centre{"near-1": here, "near-2": here, "far-1": there, "far-2": there} {
		world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{Node: node, Incarnation: 1, Centre: centre, PeerAddress: carobaddress.Address(node)}})
	}
	return &rig{world: world, system: carobevacuating.NewSystem(), now: carobinstant.Instant(time.Hour)}
}

// step runs a tick some time after the last one and returns the addresses that get messages.
func (r *rig) step(d time.Duration, in carobinbox.Inbox) []carobaddress.Address {
	r.now = r.now.Add(d)
	r.world.BeginTick(in)
	r.world.Outbox.ReadingStore = r.reader
	r.system.Run(r.world, r.now)
	r.world.EndTick(r.now)
	var addresses []carobaddress.Address
	for _, message := range r.world.Outbox.Messages {
		addresses = append(addresses, message.To)
	}
	return addresses
}

// read runs a tick with what the node has read from the store at once.
func (r *rig) read(d time.Duration, list carobevacuationlist.EvacuationList) []carobaddress.Address {
	return r.readSlowly(d, 0, list)
}

// readSlowly runs a tick with what a read found that took some time.
func (r *rig) readSlowly(d, took time.Duration, list carobevacuationlist.EvacuationList) []carobaddress.Address {
	list.ReadAt = r.now.Add(d - took)
	return r.step(d, carobinbox.Inbox{EvacuationLists: []carobevacuationlist.EvacuationList{list}})
}

// receive runs a tick with a message of another node.
func (r *rig) receive(states ...carobevacuation.Evacuation) []carobaddress.Address {
	return r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{{From: "far-1", Incarnation: 1, Evacuations: states}}})
}

// notices returns the states that a message of the node would carry.
func (r *rig) notices() []carobevacuation.Evacuation {
	r.now++
	r.world.BeginTick(carobinbox.Inbox{})
	r.system.Run(r.world, r.now)
	r.world.SendMessage(carobmessage.Message{To: "near-1"})
	r.world.EndTick(r.now)
	return r.world.Outbox.Messages[0].Evacuations
}

func active(era carobstoreera.Era, offset caroboffset.Offset) carobevacuation.Evacuation {
	return carobevacuation.Evacuation{Centre: there, Active: true, Era: era, Offset: offset}
}

func inactive(era carobstoreera.Era, offset caroboffset.Offset) carobevacuation.Evacuation {
	return carobevacuation.Evacuation{Centre: there, Era: era, Offset: offset}
}

// listOf returns a complete list with some data centres evacuated.
func listOf(era carobstoreera.Era, end caroboffset.Offset, centres ...carobcentre.Centre) carobevacuationlist.EvacuationList {
	return carobevacuationlist.EvacuationList{Era: era, End: end, Active: centres, Complete: true}
}

// Guards against states that replace newer ones, so that nodes that send each other states never agree or an evacuation comes back.
func TestTheStateAsOfTheLaterPositionWins(t *testing.T) {
	for _, tc := range []struct {
		name   string
		states []carobevacuation.Evacuation
		want   bool
	}{
		{"evacuated", []carobevacuation.Evacuation{active(1, 5)}, true},
		{"taken back later", []carobevacuation.Evacuation{active(1, 5), inactive(1, 6)}, false},
		{"an older state arrives late", []carobevacuation.Evacuation{inactive(1, 6), active(1, 5)}, false},
		{"an older end arrives late", []carobevacuation.Evacuation{active(1, 6), inactive(1, 5)}, true},
		{"a later era with a lower offset", []carobevacuation.Evacuation{inactive(1, 60), active(2, 5)}, true},
		{"an earlier era with a higher offset", []carobevacuation.Evacuation{active(2, 5), inactive(1, 60)}, true},
		{"contradiction", []carobevacuation.Evacuation{active(1, 5), inactive(1, 5)}, false},
		{"contradiction the other way", []carobevacuation.Evacuation{inactive(1, 5), active(1, 5)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig()
			r.receive(tc.states...)
			require.Equal(t, tc.want, r.world.IsEvacuated(there))
			require.False(t, r.world.IsEvacuated(here))
		})
	}
}

// Guards against evacuations that end since the store was restored or dropped its records, and against ones that never end.
func TestMissingRecordEndsAnEvacuationAfterAWhile(t *testing.T) {
	incomplete := listOf(1, 10)
	incomplete.Complete = false
	unclear := listOf(1, 10)
	unclear.Unclear = []carobcentre.Centre{there}
	removed := listOf(1, 10)
	removed.Removed = []carobcentre.Centre{there}
	for _, tc := range []struct {
		name string
		list carobevacuationlist.EvacuationList
		// want is whether the data centre is evacuated at once, before and after hold.
		want [3]bool
	}{
		{"still there", listOf(1, 10, there), [3]bool{true, true, true}},
		{"missing", listOf(1, 10), [3]bool{true, true, false}},
		{"missing in a later era with a lower offset", listOf(2, 3), [3]bool{true, true, false}},
		{"missing as of the same position", listOf(1, 5), [3]bool{true, true, false}},
		{"missing as of an earlier position", listOf(1, 4), [3]bool{true, true, true}},
		{"missing as of an earlier era", listOf(0, 40), [3]bool{true, true, true}},
		{"missing like the configuration", incomplete, [3]bool{true, true, true}},
		{"malformed", unclear, [3]bool{true, true, true}},
		{"removed", removed, [3]bool{false, false, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig()
			r.read(0, listOf(1, 5, there))
			require.True(t, r.world.IsEvacuated(there))
			r.read(time.Second, tc.list)
			require.Equal(t, tc.want[0], r.world.IsEvacuated(there))
			r.read(hold-time.Millisecond, tc.list)
			require.Equal(t, tc.want[1], r.world.IsEvacuated(there))
			r.step(2*time.Millisecond, carobinbox.Inbox{})
			require.Equal(t, tc.want[2], r.world.IsEvacuated(there), "no further read is needed")
			require.Equal(t, tc.want[2], r.world.Outbox.Evacuations == 1)
		})
	}
}

// Guards against an evacuation that lapses by a read of long ago, while the store is down and the operator cannot write it again, or after a pause of the node.
func TestMissingRecordCountsOnlyByARecentRead(t *testing.T) {
	r := newRig()
	r.read(0, listOf(1, 5, there))
	r.read(time.Second, listOf(2, 3))
	requests := 0
	for range 100 {
		r.step(100*time.Millisecond, carobinbox.Inbox{})
		require.True(t, r.world.IsEvacuated(there))
		if r.world.Outbox.ConfirmRoutes {
			requests++
		}
	}
	require.InDelta(t, 5, requests, 1, "a read is requested each second once the record has been missing for a while")
	r.world.Paused = true
	r.read(time.Minute, listOf(2, 3))
	r.world.Paused = false
	require.True(t, r.world.IsEvacuated(there))
	r.read(hold+time.Millisecond, listOf(2, 3))
	require.False(t, r.world.IsEvacuated(there))
}

// Guards against a read that took long and counts as recent, so that an evacuation ends which the operator has written again meanwhile.
func TestMissingRecordCountsByWhenItsReadBegan(t *testing.T) {
	r := newRig()
	r.read(0, listOf(1, 5, there))
	r.read(time.Second, listOf(2, 3))
	r.readSlowly(hold+time.Millisecond, 3*time.Second, listOf(2, 3))
	require.True(t, r.world.IsEvacuated(there))
	require.True(t, r.world.Outbox.ConfirmRoutes, "another read is requested")
	r.read(time.Second, listOf(2, 3))
	require.False(t, r.world.IsEvacuated(there))
}

// Guards against an evacuation that lapses although the operator has written it again after a restore, which this node hears from another one, or reads.
func TestEvacuationWrittenAgainNeverLapses(t *testing.T) {
	for name, again := range map[string]func(r *rig){
		"read":     func(r *rig) { r.read(time.Second, listOf(2, 4, there)) },
		"received": func(r *rig) { r.receive(active(2, 4)) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			r.read(0, listOf(1, 5, there))
			r.read(time.Second, listOf(2, 3))
			again(r)
			for range 20 {
				r.step(time.Second, carobinbox.Inbox{})
				require.True(t, r.world.IsEvacuated(there))
			}
		})
	}
}

// Guards against changes that nodes learn only with the next heartbeat, and against announcements of what is known already.
func TestChangesAreAnnounced(t *testing.T) {
	r := newRig()
	require.ElementsMatch(t, []carobaddress.Address{"near-1", "near-2", "far-1"}, r.read(0, listOf(1, 5, there)), "read from the store")
	require.Empty(t, r.read(time.Second, listOf(1, 6, there)), "a later position is no change")
	require.Empty(t, r.receive(active(1, 7)))
	require.Len(t, r.receive(inactive(1, 8)), 2, "received by a node that is no reader")
	r.reader = true
	require.ElementsMatch(t, []carobaddress.Address{"near-1", "near-2"}, r.receive(active(1, 9)), "received by the reader")
	require.Empty(t, newRig().receive(inactive(1, 9)), "never heard of")
}

// Guards against bytes in messages of fleets that evacuate nothing, and against nodes that are not told of a change.
func TestMessagesCarryActiveAndRecentStates(t *testing.T) {
	r := newRig()
	r.read(0, listOf(1, 5))
	require.Empty(t, r.notices())
	r.read(0, listOf(1, 6, there))
	r.step(time.Hour, carobinbox.Inbox{})
	require.Len(t, r.notices(), 1)
	r.receive(inactive(1, 7))
	r.step(50*time.Second, carobinbox.Inbox{})
	require.Len(t, r.notices(), 1)
	r.step(20*time.Second, carobinbox.Inbox{})
	require.Empty(t, r.notices())
	r.receive(active(1, 6))
	require.False(t, r.world.IsEvacuated(there))
	require.Len(t, r.notices(), 1, "a node that was cut off is told that the evacuation has ended")
}

// Guards against load probes and reports that exceed their budget of bytes, and against a confirmation that is newer than the evacuations that its sender names.
func TestLoadMessagesCarryNeitherStatesNorConfirmations(t *testing.T) {
	r := newRig()
	for _, evacuated := range []bool{false, true} {
		if evacuated {
			r.read(time.Second, listOf(1, 5, there))
		}
		r.world.RoutesConfirmedAt = r.now
		r.world.ClockBounds.Put("near-1", carobclockbound.ClockBound{Incarnation: 1, Reading: r.now, ReceivedAt: r.now})
		r.world.StoreEra, r.world.StoreRestoredAt = 2, r.now
		r.world.BeginTick(carobinbox.Inbox{})
		r.world.SendMessage(carobmessage.Message{To: "near-1", LoadProbe: &carobloadprobe.LoadProbe{}})
		r.world.SendMessage(carobmessage.Message{To: "near-1", Report: &carobreport.Report{}})
		r.world.SendMessage(carobmessage.Message{To: "near-1"})
		r.world.EndTick(r.now.Add(time.Second))
		for _, message := range r.world.Outbox.Messages {
			limited := message.LoadProbe != nil || message.Report != nil
			require.Equal(t, evacuated && !limited, len(message.Evacuations) == 1)
			require.Equal(t, limited, message.Confirmation == nil)
			require.Equal(t, limited, message.Clock == carobinstant.Never)
			require.Equal(t, limited, message.StoreEra == carobstoreera.None)
		}
	}
}

// Guards against an evacuation by a wrong name that has no effect without a trace, or fills the log.
func TestEvacuationOfAnUnknownDataCentreIsRecordedOnce(t *testing.T) {
	r := newRig()
	audits := 0
	for range 60 {
		r.read(time.Second, listOf(1, 5, there, "nowhere"))
		for _, audit := range r.world.Outbox.Audits {
			if audit.Who == "self" {
				require.Equal(t, "data centre nowhere", audit.What)
				audits++
			}
		}
	}
	require.Equal(t, 1, audits)
}

// Guards against a table that is full of data centres that were evacuated once, so that another one cannot be.
func TestFullTableHasRoomForAnEvacuation(t *testing.T) {
	r := newRig()
	for i := range carobevacuation.MaxRows + 1 {
		name := carobcentre.Centre("c" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
		r.receive(carobevacuation.Evacuation{Centre: name, Era: 1, Offset: 1})
	}
	r.receive(active(1, 5))
	require.True(t, r.world.IsEvacuated(there))
}
