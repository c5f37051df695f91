package carobquotacounting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobquotacounting"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// rig is a node whose system runs each second.
type rig struct {
	t      *testing.T
	world  *carobworld.World
	system *carobquotacounting.System
	now    carobinstant.Instant
}

// newRig returns a node with a table with or without a quota. It has just started.
func newRig(t *testing.T, limited bool) *rig {
	t.Helper()
	table := &carobroutetable.RouteTable{Version: 1, RequiresKey: true, Organisations: []caroborganisation.Organisation{{ID: "free"}}}
	if limited {
		table.Organisations = append(table.Organisations, caroborganisation.Organisation{ID: "clinic", Rate: 5})
	}
	require.NoError(t, table.Check())
	r := &rig{
		t: t, system: carobquotacounting.NewSystem(), now: carobinstant.Instant(24 * time.Hour),
		world: carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "me"}, Limits: caroblimits.NewLimits()}),
	}
	r.world.RouteTable = table
	r.tick(carobinbox.Inbox{})
	return r
}

func (r *rig) tick(inbox carobinbox.Inbox) {
	r.world.BeginTick(inbox)
	r.system.Run(r.world, r.now)
}

// pass lets time pass. With contact, another node is heard of each second.
func (r *rig) pass(duration time.Duration, contact bool) {
	inbox := carobinbox.Inbox{}
	if contact {
		inbox.Messages = []carobmessage.Message{{From: "a"}}
	}
	for end := r.now.Add(duration); r.now < end; {
		r.now = r.now.Add(time.Second)
		r.tick(inbox)
	}
}

// setPeer changes the row of a peer.
func (r *rig) setPeer(node carobnodeid.ID, incarnation carobincarnation.Incarnation, liveness carobliveness.Liveness) {
	r.world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{Node: node, Incarnation: incarnation, Liveness: liveness}, LivenessSince: r.now})
	r.world.PeerChanges++
}

// record records a member in the directory.
func (r *rig) record(node carobnodeid.ID) {
	r.world.LoggedMembers.Put(node, carobmember.Member{Node: node, Incarnation: 1})
	r.tick(carobinbox.Inbox{Records: []carobrecord.Record{{Stream: carobstream.Nodes}}})
}

// Guards against work and state in deployments without quotas.
func TestNothingIsCountedWithoutQuotas(t *testing.T) {
	r := newRig(t, false)
	r.setPeer("a", 1, carobliveness.Alive)
	r.pass(3*time.Second, true)
	require.False(t, r.world.QuotasInForce)
	require.Zero(t, r.world.CountedNodes.Len())
	require.False(t, r.world.QuotaShareUsable)
	require.Zero(t, r.world.Outbox.QuotaNodes)
}

// Guards against shares that add up to more than the quota because a node that is cut off, and uses
// its share, no longer counts, and against quotas that stay divided by nodes that have left.
func TestSilentNodesCountForAnHour(t *testing.T) {
	r := newRig(t, true)
	for _, node := range []carobnodeid.ID{"a", "b", "c"} {
		r.setPeer(node, 1, carobliveness.Alive)
	}
	r.record("d")
	r.pass(2*time.Second, true)
	require.Equal(t, 5, r.world.QuotaNodes)
	r.setPeer("a", 1, carobliveness.Unreachable)
	r.setPeer("b", 1, carobliveness.Left)
	r.pass(time.Second, true)
	require.Equal(t, 4, r.world.QuotaNodes, "a node that left does not count")
	r.world.Peers.Delete("a")
	r.world.Peers.Delete("b")
	r.world.PeerChanges++
	r.pass(58*time.Minute, true)
	require.Equal(t, 4, r.world.QuotaNodes, "a node that is no longer a peer counts")
	r.pass(3*time.Minute, true)
	require.Equal(t, 2, r.world.QuotaNodes)
	r.pass(time.Hour, true)
	require.Equal(t, 2, r.world.QuotaNodes, "an old record does not make a node count again")
	r.setPeer("b", 2, carobliveness.Alive)
	r.pass(time.Second, true)
	require.Equal(t, 3, r.world.QuotaNodes, "a node that returns counts")
}

// Guards against a node that is not counted while it may be using its share, because an earlier
// process of it left and only the directory has its restart.
func TestRecordOfARestartedNodeCountsBesideTheOldPeer(t *testing.T) {
	r := newRig(t, true)
	r.setPeer("a", 1, carobliveness.Left)
	r.pass(time.Second, true)
	require.Equal(t, 1, r.world.QuotaNodes)
	r.world.LoggedMembers.Put("a", carobmember.Member{Node: "a", Incarnation: 2})
	r.tick(carobinbox.Inbox{Records: []carobrecord.Record{{Stream: carobstream.Nodes}}})
	r.pass(2*time.Second, true)
	require.Equal(t, 2, r.world.QuotaNodes)
	r.pass(2*time.Minute, true)
	require.Equal(t, 2, r.world.QuotaNodes, "after further scans")
}

// Guards against a node that uses the whole quota once all others have been silent for so long that
// they no longer count: they may use the whole quota together.
func TestIsolatedNodeDoesNotUseTheWholeQuota(t *testing.T) {
	r := newRig(t, true)
	r.record("me")
	r.setPeer("a", 1, carobliveness.Alive)
	r.pass(2*time.Second, true)
	require.True(t, r.world.QuotaShareUsable)
	r.setPeer("a", 1, carobliveness.Unreachable)
	r.pass(2*time.Hour, false)
	require.Equal(t, 1, r.world.QuotaNodes)
	require.False(t, r.world.QuotaShareUsable)
	r.setPeer("a", 1, carobliveness.Alive)
	r.pass(time.Second, true)
	require.True(t, r.world.QuotaShareUsable, "contact restored")

	r.setPeer("a", 1, carobliveness.Left)
	r.pass(2*time.Hour, false)
	require.True(t, r.world.QuotaShareUsable, "all other nodes have left")
}

// Guards against a record of the directory that makes a node count which has left since.
func TestRecordOfANodeThatLeftDoesNotCount(t *testing.T) {
	r := newRig(t, true)
	r.setPeer("a", 1, carobliveness.Left)
	r.record("a")
	r.pass(time.Second, true)
	require.Equal(t, 1, r.world.QuotaNodes)
}

// Guards against nodes that start together, do not know each other yet, and each use much of the
// quota, and against a share that is used when the others no longer count it.
func TestWhenAShareMayBeUsed(t *testing.T) {
	r := newRig(t, true)
	r.record("me")
	require.False(t, r.world.QuotaShareUsable, "just started")
	r.pass(2*time.Second, false)
	require.True(t, r.world.QuotaShareUsable, "the directory has no other node")

	r = newRig(t, true)
	r.pass(10*time.Second, false)
	require.False(t, r.world.QuotaShareUsable, "no other node is known, and the directory was not read")
	r.setPeer("a", 1, carobliveness.Alive)
	r.pass(time.Second, true)
	require.True(t, r.world.QuotaShareUsable)
	r.pass(54*time.Minute, false)
	require.True(t, r.world.QuotaShareUsable)
	r.pass(time.Minute, false)
	require.False(t, r.world.QuotaShareUsable, "cut off for 55 minutes")
	r.pass(time.Second, true)
	require.True(t, r.world.QuotaShareUsable)
	r.world.LeaveAnnounced = true
	r.pass(time.Second, true)
	require.False(t, r.world.QuotaShareUsable, "others no longer count it")
}
