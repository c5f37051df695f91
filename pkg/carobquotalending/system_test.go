package carobquotalending_test

import (
	"testing"
	"time"

	"github.com/carobknot/carobknot/pkg/carobquotaperiods"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobquotaallocation"
	"github.com/carobknot/carobknot/pkg/carobquotagrant"
	"github.com/carobknot/carobknot/pkg/carobquotalending"
	"github.com/carobknot/carobknot/pkg/carobquotareply"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// rig is a node that has its share and knows other nodes.
type rig struct {
	t          *testing.T
	world      *carobworld.World
	allocation *carobquotaallocation.System
	lending    *carobquotalending.System
	now        carobinstant.Instant
	// last is the last request, and to its receiver.
	last *carobquotarequest.QuotaRequest
	to   carobaddress.Address
}

func newRig(t *testing.T, peers ...carobmember.Member) *rig {
	t.Helper()
	r := &rig{
		t: t, allocation: carobquotaallocation.NewSystem(), lending: carobquotalending.NewSystem(), now: carobinstant.Instant(time.Hour),
		world: carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "m", Incarnation: 1}, Limits: caroblimits.NewLimits(), Capacity: 500}),
	}
	r.world.QuotasInForce, r.world.QuotaShareUsable, r.world.QuotaNodes = true, true, len(peers)+1
	for _, peer := range peers {
		r.setPeer(peer)
	}
	r.setLimit(1, 100)
	return r
}

func (r *rig) setLimit(version carobrouteversion.Version, rate carobcallrate.CallRate) {
	table := &carobroutetable.RouteTable{
		Version: version, RequiresKey: true, Organisations: []caroborganisation.Organisation{{ID: "clinic", Rate: rate, Burst: 10}},
	}
	require.NoError(r.t, table.Check())
	r.world.RouteTable = table
}

// peer returns a peer, whose address is its name.
func peer(node carobnodeid.ID, capacity carobcapacity.Capacity, allocates bool) carobmember.Member {
	return carobmember.Member{Node: node, Incarnation: 7, PeerAddress: carobaddress.Address(node), Capacity: capacity, Allocates: allocates}
}

func (r *rig) setPeer(member carobmember.Member) {
	r.world.Peers.Put(member.Node, carobpeer.Peer{Member: member})
	r.world.PeerChanges++
}

// tick runs a tick after some time, and records a request that it sends.
func (r *rig) tick(after time.Duration, messages ...carobmessage.Message) {
	r.now = r.now.Add(after)
	r.world.BeginTick(carobinbox.Inbox{Messages: messages})
	r.allocation.Run(r.world, r.now)
	r.lending.Run(r.world, r.now)
	r.last, r.to = nil, ""
	for _, message := range r.world.Outbox.Messages {
		require.Nil(r.t, r.last, "one request at a time")
		r.last, r.to = message.QuotaRequest, message.To
	}
}

// reply is a reply to the request with a number.
func reply(from carobnodeid.ID, number uint64, grants ...carobquotagrant.QuotaGrant) carobmessage.Message {
	return carobmessage.Message{
		From: from, Incarnation: 7, RoutesVersion: 1, QuotaReply: &carobquotareply.QuotaReply{Number: number, Stamp: carobinstant.Instant(number), Grants: grants},
	}
}

// pass lets time pass in steps of 10 ms, while nobody replies.
func (r *rig) pass(duration time.Duration) {
	for range duration / (10 * time.Millisecond) {
		r.tick(10 * time.Millisecond)
	}
}

// lend runs the exchanges after which the share is lent to a node.
func (r *rig) lend(to carobnodeid.ID) {
	r.t.Helper()
	r.tick(0)
	require.Equal(r.t, carobaddress.Address(to), r.to)
	require.Zero(r.t, r.last.Nodes, "the first request only fetches a stamp")
	r.tick(time.Millisecond, reply(to, r.last.Number))
	r.tick(20 * time.Millisecond)
	require.Positive(r.t, r.last.Nodes)
}

// Guards against nodes that lend to different allocators although they know the same.
func TestChoiceOfAllocator(t *testing.T) {
	leaving, suspect := peer("a", 900, true), peer("b", 900, true)
	leaving.Leaving, suspect.Liveness = true, carobliveness.Suspect
	for _, c := range []struct {
		name   string
		peers  []carobmember.Member
		chosen carobaddress.Address
	}{
		{"alone", nil, ""},
		{"more capacity", []carobmember.Member{peer("z", 800, false), peer("a", 100, false)}, "z"},
		{"equal capacity, lower ID", []carobmember.Member{peer("z", 500, false), peer("a", 500, false)}, "a"},
		{"equal capacity, higher ID", []carobmember.Member{peer("z", 500, false)}, ""},
		{"allocates already", []carobmember.Member{peer("z", 100, true), peer("a", 800, false)}, "z"},
		{"leaving or suspected", []carobmember.Member{leaving, suspect, peer("c", 100, true)}, "c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, c.peers...)
			r.tick(0)
			require.Equal(t, c.chosen, r.to)
			require.Equal(t, c.chosen == "", r.world.Self.Allocates)
			require.EqualValues(t, 500, r.world.Self.Capacity)
			require.Positive(t, r.world.Self.Sequence, "others learn the capacity")
		})
	}
}

// Guards against deployments without quotas whose members or messages change.
func TestNothingIsSentWithoutQuotas(t *testing.T) {
	r := newRig(t, peer("a", 900, true))
	r.world.QuotasInForce = false
	r.pass(time.Second)
	require.Zero(t, r.world.Self.Sequence)
	require.Nil(t, r.last)
	r.world.QuotasInForce = true
	r.pass(time.Second)
	require.EqualValues(t, 500, r.world.Self.Capacity)
	r.world.QuotasInForce = false
	r.pass(time.Second)
	require.Zero(t, r.world.Self.Capacity)
	require.False(t, r.world.Self.Allocates)
}

// Guards against a share that is used while an allocator may count it, and against one that nobody
// uses once no allocator does.
func TestShareIsUsedOnlyAfterItsLease(t *testing.T) {
	r := newRig(t, peer("a", 900, true))
	r.tick(0)
	require.NotEqual(t, carobinstant.Never, r.world.OwnQuotaSince, "there is no lease yet")
	r.tick(time.Millisecond, reply("a", r.last.Number))
	received := r.now
	r.tick(20 * time.Millisecond)
	require.Positive(t, r.last.Nodes)
	require.Equal(t, carobinstant.Never, r.world.OwnQuotaSince)
	for r.now < received.Add(carobquotaperiods.Of(r.world.QuotaNodes).Lease-20*time.Millisecond) {
		r.tick(10 * time.Millisecond)
		require.Equal(t, carobinstant.Never, r.world.OwnQuotaSince, "the allocator may count the share")
		require.Zero(t, r.world.QuotaLedger.Leases, "nor does this node lend it to itself")
	}
	r.pass(50 * time.Millisecond)
	require.Equal(t, 1, r.world.QuotaLedger.Leases, "no other node is left to allocate")
}

// Guards against a share that is lent to two allocators, and against calls that get no tokens while
// the node changes from one to the other.
func TestShareIsLentToOneAllocatorAtATime(t *testing.T) {
	r := newRig(t, peer("b", 900, true))
	r.lend("b")
	bound := r.now.Add(-20 * time.Millisecond).Add(carobquotaperiods.Of(r.world.QuotaNodes).Lease)
	r.tick(time.Millisecond, reply("b", r.last.Number))
	// The reply renews the stamp, but the lease ends with the stamp that was sent.
	r.setPeer(peer("a", 900, true))
	r.tick(100 * time.Millisecond)
	for r.now.Add(11*time.Millisecond) < bound {
		r.tick(10 * time.Millisecond)
		if r.last != nil {
			require.EqualValues(t, "b", r.to, "the holder of the lease goes on to grant tokens")
			require.Zero(t, r.last.Nodes, "the lease is not renewed")
			r.tick(time.Millisecond, reply("b", r.last.Number))
		}
	}
	lent := false
	for range 20 {
		r.tick(10 * time.Millisecond)
		if r.last != nil {
			require.EqualValues(t, "a", r.to)
			lent = lent || r.last.Nodes > 0
			r.tick(time.Millisecond, reply("a", r.last.Number))
		}
	}
	require.True(t, lent)
}

// Guards against a gap in which no share is lent after an allocator has announced that it leaves.
func TestReleasedShareIsLentAtOnce(t *testing.T) {
	r := newRig(t, peer("a", 900, true), peer("b", 800, false))
	r.lend("a")
	r.tick(time.Millisecond, reply("a", r.last.Number))
	leaving := peer("a", 900, true)
	leaving.Leaving = true
	r.setPeer(leaving)
	r.pass(100 * time.Millisecond)
	released := reply("a", 3)
	released.QuotaReply.Released = true
	r.tick(time.Millisecond, released)
	for range 20 {
		if r.last == nil {
			r.tick(10 * time.Millisecond)
		}
		if r.last != nil {
			require.EqualValues(t, "b", r.to)
			if r.last.Nodes > 0 {
				return
			}
			r.tick(time.Millisecond, reply("b", r.last.Number))
		}
	}
	require.Fail(t, "the share is not lent to the next allocator")
}

// Guards against calls that wait for an allocator that does not answer while others would.
func TestSilentAllocatorIsReplaced(t *testing.T) {
	r := newRig(t, peer("a", 900, true), peer("b", 800, false))
	r.tick(0)
	require.EqualValues(t, "a", r.to)
	number := r.last.Number
	for range 28 {
		r.tick(10 * time.Millisecond)
		if r.last != nil {
			break
		}
	}
	require.EqualValues(t, "b", r.to)
	r.world.QuotaStocks.Put("clinic", carobquotastock.QuotaStock{Rate: 100, Burst: 10})
	r.tick(time.Millisecond, reply("a", number, carobquotagrant.QuotaGrant{Organisation: "clinic", Tokens: 5}))
	require.Zero(t, r.world.QuotaStocks.Get("clinic").Tokens, "tokens of a late reply are lost")
}

// Guards against tokens of a limit that was lowered since, from an allocator that does not know it.
func TestTokensUnderAnOlderLimitAreNotUsed(t *testing.T) {
	r := newRig(t, peer("a", 900, true))
	r.lend("a")
	r.world.QuotaStocks.Put("clinic", carobquotastock.QuotaStock{Rate: 100, Burst: 10})
	r.setLimit(2, 50)
	r.tick(time.Millisecond, reply("a", r.last.Number, carobquotagrant.QuotaGrant{Organisation: "clinic", Tokens: 5}))
	require.Zero(t, r.world.QuotaStocks.Get("clinic").Tokens)
}

// Guards against requests that list all organisations each time, and against ones that leave something
// out of which the allocator may have no record.
func TestRequestsListWhatChanged(t *testing.T) {
	r := newRig(t, peer("a", 900, true))
	stock := r.world.QuotaStocks.Put("clinic", carobquotastock.QuotaStock{Rate: 100, Burst: 10, Tokens: 2, ExpiresAt: r.now.Add(time.Minute)})
	stock.RecordCall(r.now)
	r.tick(0)
	require.True(t, r.last.Complete)
	require.Len(t, r.last.Demands, 1)
	r.tick(time.Millisecond, reply("a", 1))
	r.tick(20 * time.Millisecond)
	require.False(t, r.last.Complete)
	require.Empty(t, r.last.Demands)
	r.tick(time.Millisecond, reply("a", 2))
	stock.Tokens = 1
	r.tick(carobquotaperiods.Of(r.world.QuotaNodes).Renewal)
	require.False(t, r.last.Complete)
	require.Equal(t, 1, r.last.Demands[0].Held)
	number := r.last.Number
	r.pass(240 * time.Millisecond)
	r.setPeer(peer("b", 999, true))
	r.tick(time.Millisecond, reply("a", number))
	r.setLimit(2, 100)
	for r.last = nil; r.last == nil; {
		r.tick(10 * time.Millisecond)
	}
	require.True(t, r.last.Complete, "the record of the other node, or of the table before, is not this one")
}

// Guards against an allocator that gives its own calls no tokens.
func TestAllocatorServesItself(t *testing.T) {
	r := newRig(t)
	r.tick(0)
	require.True(t, r.world.Outbox.Allocating)
	r.pass(time.Second)
	stock := r.world.QuotaStocks.Put("clinic", carobquotastock.QuotaStock{Rate: 100, Burst: 10, Waiting: 3})
	r.world.QuotaWaiting, r.world.QuotaUrgent = 3, true
	r.tick(time.Millisecond)
	require.Equal(t, 3, stock.Tokens)
	require.Empty(t, r.world.Outbox.Messages)
	require.Equal(t, 1, r.world.QuotaLedger.Leases)
	r.world.QuotaShareUsable = false
	r.tick(time.Millisecond)
	require.Zero(t, r.world.QuotaLedger.Leases)
}

// Guards against an allocator that is avoided because this node was paused.
func TestPauseDoesNotBlameTheAllocator(t *testing.T) {
	r := newRig(t, peer("a", 900, true))
	r.lend("a")
	r.world.Paused = true
	r.tick(time.Minute)
	r.world.Paused = false
	require.EqualValues(t, "a", r.to)
	require.Zero(t, r.last.Nodes, "the stamp is too old")
}
