package carobquotaallocation_test

import (
	"testing"
	"time"

	"github.com/carobknot/carobknot/pkg/carobquotaperiods"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcountednode"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobquotaallocation"
	"github.com/carobknot/carobknot/pkg/carobquotademand"
	"github.com/carobknot/carobknot/pkg/carobquotareply"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const ownIncarnation = 3

// rig is an allocator among four nodes, with an organisation of 100 calls a second. Its tokens
// number at most 71.
type rig struct {
	t       *testing.T
	world   *carobworld.World
	system  *carobquotaallocation.System
	now     carobinstant.Instant
	numbers map[carobnodeid.ID]uint64
}

const maxTokens = 71

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		t: t, system: carobquotaallocation.NewSystem(), now: carobinstant.Instant(time.Hour), numbers: map[carobnodeid.ID]uint64{},
		world: carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "me", Incarnation: ownIncarnation}, Limits: caroblimits.NewLimits()}),
	}
	r.world.QuotasInForce, r.world.QuotaNodes = true, 4
	r.setLimit(1, 100, 10)
	r.tick(0)
	return r
}

// setLimit puts a table in force with the limit of the organisation.
func (r *rig) setLimit(version carobrouteversion.Version, rate carobcallrate.CallRate, burst float64) {
	table := &carobroutetable.RouteTable{
		Version: version, RequiresKey: true, Organisations: []caroborganisation.Organisation{{ID: "clinic", Rate: rate, Burst: burst}},
	}
	require.NoError(r.t, table.Check())
	r.world.RouteTable = table
}

// tick runs a tick after some time.
func (r *rig) tick(after time.Duration, messages ...carobmessage.Message) {
	r.now = r.now.Add(after)
	r.world.BeginTick(carobinbox.Inbox{Messages: messages})
	r.system.Run(r.world, r.now)
}

// request sends a request of a node with the next number and returns the reply; nil if there is
// none.
func (r *rig) request(from carobnodeid.ID, request carobquotarequest.QuotaRequest) *carobquotareply.QuotaReply {
	r.t.Helper()
	r.numbers[from]++
	request.Number = r.numbers[from]
	return r.send(from, request)
}

func (r *rig) send(from carobnodeid.ID, request carobquotarequest.QuotaRequest) *carobquotareply.QuotaReply {
	r.t.Helper()
	r.tick(0, carobmessage.Message{From: from, Incarnation: 1, ReplyTo: "10.0.0.1:7", QuotaRequest: &request})
	if len(r.world.Outbox.Messages) == 0 {
		return nil
	}
	require.Len(r.t, r.world.Outbox.Messages, 1)
	return r.world.Outbox.Messages[0].QuotaReply
}

// lend lends the shares of nodes, with a stamp of now.
func (r *rig) lend(nodes ...carobnodeid.ID) {
	r.t.Helper()
	for _, node := range nodes {
		reply := r.request(node, carobquotarequest.QuotaRequest{})
		r.request(node, carobquotarequest.QuotaRequest{Stamp: reply.Stamp, Issuer: ownIncarnation, Nodes: 4})
	}
}

func demand(held, returned, waiting, stock int) carobquotarequest.QuotaRequest {
	return carobquotarequest.QuotaRequest{Demands: []carobquotademand.QuotaDemand{
		{Organisation: "clinic", Held: held, Returned: returned, Waiting: waiting, Stock: stock},
	}}
}

// granted returns the tokens in a reply.
func granted(reply *carobquotareply.QuotaReply) int {
	if reply == nil || len(reply.Grants) == 0 {
		return 0
	}
	return reply.Grants[0].Tokens
}

// Guards against a share that is counted after its node may use it again, whatever the delay of the
// request, and against one that is counted on the word of another process.
func TestLeaseEndsWithItsStamp(t *testing.T) {
	leaseTime := carobquotaperiods.Of(4).Lease
	for _, c := range []struct {
		name    string
		request func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest
		delay   time.Duration
		leases  int
	}{
		{"at once", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation, Nodes: 4}
		}, 0, 1},
		{"late", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation, Nodes: 4}
		}, leaseTime - time.Millisecond, 1},
		{"too late", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation, Nodes: 4}
		}, leaseTime, 0},
		{"stamp of a process before this one", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation - 1, Nodes: 4}
		}, 0, 0},
		{"stamp in the future", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp.Add(time.Second), Issuer: ownIncarnation, Nodes: 4}
		}, 0, 0},
		{"no share", func(stamp carobinstant.Instant) carobquotarequest.QuotaRequest {
			return carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation}
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			stamp := r.request("a", carobquotarequest.QuotaRequest{}).Stamp
			require.Zero(t, r.world.Outbox.QuotaLeases, "the first request only fetches a stamp")
			r.tick(c.delay)
			r.request("a", c.request(stamp))
			require.Equal(t, c.leases, r.world.Outbox.QuotaLeases)
			r.tick(leaseTime - c.delay)
			require.Zero(t, r.world.Outbox.QuotaLeases)
		})
	}
}

// Guards against a rate that does not follow the leases, and against a number of nodes that is
// smaller than that of a lender.
func TestBucketFillsAtTheLentShare(t *testing.T) {
	r := newRig(t)
	r.lend("a")
	r.tick(100 * time.Millisecond)
	require.Equal(t, 2, granted(r.request("b", demand(0, 0, 50, 0))), "a quarter of 10")
	r.lend("b")
	r.tick(100 * time.Millisecond)
	require.Equal(t, 5, granted(r.request("b", demand(0, 0, 50, 0))), "half of 10")
	reply := r.request("c", carobquotarequest.QuotaRequest{})
	r.request("c", carobquotarequest.QuotaRequest{Stamp: reply.Stamp, Issuer: ownIncarnation, Nodes: 30})
	r.tick(100 * time.Millisecond)
	require.Equal(t, 1, granted(r.request("b", demand(0, 0, 50, 0))), "three of 30, of 10")
}

// Guards against tokens for the time after leases have ended, such as that of a pause.
func TestNothingIsFilledWithoutLeases(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(10 * time.Millisecond)
	r.tick(time.Minute)
	reply := r.request("a", demand(0, 0, 50, 0))
	require.Zero(t, granted(reply))
	require.Empty(t, reply.Grants, "nothing is known about when there are tokens")
}

// Guards against two allocators that count the share of a node that has left, which is part of the
// other shares then.
func TestLeaseOfANodeThatLeftDoesNotCount(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b")
	require.InDelta(t, 0.5, r.world.QuotaLedger.Share, 1e-9)
	r.world.CountedNodes.Put("b", carobcountednode.CountedNode{Incarnation: 1, Left: true})
	r.world.QuotaNodes = 3
	r.tick(0)
	require.InDelta(t, 0.25, r.world.QuotaLedger.Share, 1e-9, "one lease, of a node that still counts four")
}

// Guards against a share that an allocator counts after it has told the lender that it does not, and
// against one that it keeps until its lease would have ended.
func TestLeavingAllocatorReleasesShares(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b")
	r.world.Stopping = true
	stamp := r.now
	released := r.request("a", carobquotarequest.QuotaRequest{Stamp: stamp, Issuer: ownIncarnation, Nodes: 4})
	require.True(t, released.Released)
	require.InDelta(t, 0.25, r.world.QuotaLedger.Share, 1e-9)
	delayed := carobquotarequest.QuotaRequest{Number: r.numbers["a"] - 1, Stamp: stamp, Issuer: ownIncarnation, Nodes: 4}
	require.Nil(t, r.send("a", delayed))
	require.InDelta(t, 0.25, r.world.QuotaLedger.Share, 1e-9)
}

// Guards against tokens that are granted twice because a request is duplicated, or that are counted
// by an older request that arrives later.
func TestOldRequestsAreIgnored(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(100 * time.Millisecond)
	require.Equal(t, 4, granted(r.request("a", demand(0, 0, 4, 0))))
	repeated := demand(0, 4, 4, 0)
	for _, number := range []uint64{r.numbers["a"], r.numbers["a"] - 1} {
		repeated.Number = number
		require.Nil(t, r.send("a", repeated))
	}
	require.Equal(t, 4, r.world.QuotaBuckets.Get("clinic").Outstanding)
}

// Guards against returned tokens that the node never had, and tokens that are in the bucket and with
// the node.
func TestReturnedTokensAreCreditedOnce(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(100 * time.Millisecond)
	require.Equal(t, 10, granted(r.request("a", demand(0, 0, 10, 0))))
	r.request("a", demand(2, 5, 0, 0))
	bucket := r.world.QuotaBuckets.Get("clinic")
	require.InDelta(t, 5, bucket.Tokens, 1e-6)
	require.Equal(t, 2, bucket.Outstanding)
	r.request("a", demand(2, 50, 0, 0))
	require.InDelta(t, 5, bucket.Tokens, 1e-6)
}

// Guards against tokens that are forgotten because a request leaves them out, so that more are granted
// than may exist, and against ones that are counted although a complete request does not have them.
func TestWhatARequestLeavesOut(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(100 * time.Millisecond)
	require.Equal(t, 10, granted(r.request("a", demand(0, 0, 10, 0))))
	r.request("a", carobquotarequest.QuotaRequest{})
	require.Equal(t, 10, r.world.QuotaBuckets.Get("clinic").Outstanding)
	r.tick(1500 * time.Millisecond)
	r.request("a", carobquotarequest.QuotaRequest{})
	r.tick(1500 * time.Millisecond)
	require.Equal(t, 10, r.world.QuotaBuckets.Get("clinic").Outstanding, "renewed by the request")
	r.request("a", carobquotarequest.QuotaRequest{Complete: true})
	require.Zero(t, r.world.QuotaBuckets.Get("clinic").Outstanding)
	require.Empty(t, r.world.QuotaLeases.Get("a").Holdings)
}

// Guards against an allocator that grants no more because of tokens at a node that has died, and
// against tokens beyond the capacity.
func TestHoldingsExpire(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(900 * time.Millisecond)
	require.Equal(t, maxTokens, granted(r.request("a", demand(0, 0, 1000, 0))))
	r.lend("b", "c", "d")
	r.tick(900 * time.Millisecond)
	require.Zero(t, granted(r.request("b", demand(0, 0, 1000, 0))), "all tokens are with another node")
	r.lend("b", "c", "d")
	r.tick(1100 * time.Millisecond)
	r.lend("b", "c", "d")
	r.tick(100 * time.Millisecond)
	require.Positive(t, granted(r.request("b", demand(0, 0, 1000, 0))))
}

// Guards against a lowered limit that does not bind because of what is in the bucket.
func TestLowerLimitTrimsTheBucket(t *testing.T) {
	r := newRig(t)
	r.lend("a", "b", "c", "d")
	r.tick(900 * time.Millisecond)
	r.lend("a", "b", "c", "d")
	r.setLimit(2, 5, 0)
	r.tick(0)
	require.Equal(t, 12, granted(r.request("a", demand(0, 0, 1000, 0))), "2.5 of the overage and half of the slack")
	r.world.QuotasInForce = false
	r.tick(0)
	require.Zero(t, r.world.QuotaBuckets.Len()+r.world.QuotaLeases.Len())
}
