package carobstorereading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstorereading"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// All nodes of a data centre must select the same reader. A reader that leaves, is
// suspected, or cannot read the store must be replaced, or new route tables reach the data
// centre late.
func TestOneNodeOfADataCentreReadsTheStore(t *testing.T) {
	member := func(node carobnodeid.ID, centre carobcentre.Centre, change func(m *carobmember.Member)) carobmember.Member {
		m := carobmember.Member{Node: node, Centre: centre}
		if change != nil {
			change(&m)
		}
		return m
	}
	for _, c := range []struct {
		name       string
		others     []carobmember.Member
		unreadable bool
		noRoutes   bool
		reads      bool
	}{
		{"alone", nil, false, false, true},
		{"another has a lower ID", []carobmember.Member{member("a", "x", nil)}, false, false, false},
		{"another has a higher ID", []carobmember.Member{member("z", "x", nil)}, false, false, true},
		{"another data centre has a lower ID", []carobmember.Member{member("a", "y", nil)}, false, false, true},
		{"the lowest ID cannot read the store", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.StoreUnreadable = true })}, false, false, true},
		{"the lowest ID is leaving", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.Leaving = true })}, false, false, true},
		{"the lowest ID is suspected", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.Liveness = carobliveness.Suspect })}, false, false, true},
		{"cannot read the store, another can", []carobmember.Member{member("z", "x", nil)}, true, false, false},
		{"none can read the store, the lowest ID keeps reading", []carobmember.Member{member("z", "x", func(m *carobmember.Member) { m.StoreUnreadable = true })}, true, false, true},
		{"has no route table, another has a lower ID", []carobmember.Member{member("a", "x", nil)}, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			world := carobworld.NewWorld(carobworld.Config{
				Self: carobmember.Member{Node: "m", Centre: "x"}, Limits: caroblimits.NewLimits(),
			})
			if !c.noRoutes {
				rs, err := carobroutetable.NewRouteTable(1, nil)
				require.NoError(t, err)
				world.RouteTable = rs
			}
			for _, mb := range c.others {
				world.Peers.Put(mb.Node, carobpeer.Peer{Member: mb})
			}
			in := carobinbox.Inbox{}
			if c.unreadable {
				in.StoreUnreadable = []bool{true}
			}
			sequence := world.Self.Sequence
			world.BeginTick(in)
			carobstorereading.NewSystem().Run(world, 1)
			require.Equal(t, c.reads, world.Outbox.ReadingStore)
			require.False(t, world.Outbox.AwaitingTable, "reads are held only for nodes without a table")
			require.Equal(t, c.unreadable, world.Self.Sequence != sequence, "other nodes learn whether it can read the store")
		})
	}
}

// Reads have a price, and most nodes that start get the table from another node. Guards
// against nodes that all read the store when they start together, and against a node that
// relies on a reader that never gets the table.
func TestNodeWithoutTableReadsItselfAfterAWhile(t *testing.T) {
	for _, test := range []struct {
		name   string
		other  carobnodeid.ID
		logged bool
		within time.Duration
	}{
		{"reader of its data centre", "z", false, 500 * time.Millisecond},
		{"another node reads", "a", false, 2 * time.Second},
		{"the log names another node that may read", "a", true, 2 * time.Second},
		{"the log names nodes that come later", "z", true, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "m", Centre: "x"}, Limits: caroblimits.NewLimits()})
			other := carobmember.Member{Node: test.other, Centre: "x"}
			if test.logged {
				world.LoggedMembers.Put(test.other, other)
			} else {
				world.Peers.Put(test.other, carobpeer.Peer{Member: other})
			}
			system, start := carobstorereading.NewSystem(), carobinstant.Instant(time.Hour)
			now := start
			for {
				world.BeginTick(carobinbox.Inbox{})
				system.Run(world, now)
				if world.Outbox.AwaitingTable {
					break
				}
				require.Positive(t, world.Wake())
				now = world.Wake()
			}
			require.Greater(t, now.Sub(start), test.within/2)
			require.LessOrEqual(t, now.Sub(start), test.within)
			table, err := carobroutetable.NewRouteTable(1, nil)
			require.NoError(t, err)
			world.RouteTable = table
			world.BeginTick(carobinbox.Inbox{})
			system.Run(world, now)
			require.False(t, world.Outbox.AwaitingTable)
		})
	}
}

// Each read has a cost, so the rate of held reads over all readers must not depend on the
// number of data centres: each read is held open in proportion to that number.
func TestMoreReadersHoldTheirReadsForLonger(t *testing.T) {
	longPollTimeout := func(centres ...carobcentre.Centre) time.Duration {
		world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "a", Centre: "x"}, Limits: caroblimits.NewLimits()})
		for i, centre := range centres {
			node := carobnodeid.ID("b" + string(rune('a'+i)))
			world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{Node: node, Centre: centre}})
		}
		world.BeginTick(carobinbox.Inbox{})
		system := carobstorereading.NewSystem()
		system.Run(world, 1)
		system.Run(world, carobinstant.Instant(time.Minute))
		return world.Outbox.LongPollTimeout
	}
	alone := longPollTimeout()
	require.Positive(t, alone)
	require.LessOrEqual(t, alone, time.Second)
	require.Equal(t, alone, longPollTimeout("x", "x"))
	require.Equal(t, 3*alone, longPollTimeout("x", "y", "z", "y"))
}
