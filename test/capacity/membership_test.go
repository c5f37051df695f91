package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// forAllRunning reports whether a condition holds for all running nodes.
func (c *cluster) forAllRunning(holds func(n *node) bool) bool {
	for _, n := range c.nodes {
		if !n.dead && !n.stopped && !holds(n) {
			return false
		}
	}
	return true
}

// livenessOf returns the liveness of another node as this node knows it; Left if it does
// not know that incarnation.
func (n *node) livenessOf(other *node) carobliveness.Liveness {
	peer := n.core.World().Peers.Get(other.self.Node)
	if peer == nil || peer.Member.Incarnation != other.self.Incarnation {
		return carobliveness.Left
	}
	return peer.Member.Liveness
}

// converged reports whether every running node knows all others as alive, and all targets.
func (c *cluster) converged() bool {
	running := 0
	for _, n := range c.nodes {
		if !n.dead && !n.stopped {
			running++
		}
	}
	return c.forAllRunning(func(n *node) bool {
		known := 0
		for _, peer := range n.core.World().Peers.All() {
			if peer.Member.Liveness == carobliveness.Alive {
				known++
			}
		}
		return known == running-1 && n.core.World().Targets.Len() == running
	})
}

// addConvergedNodes starts nodes and waits until all know each other.
func (c *cluster) addConvergedNodes(count int) {
	c.t.Helper()
	c.addNodes(count)
	require.Less(c.t, c.runUntil(time.Minute, c.converged), time.Minute, "%d nodes find each other", count)
	c.run(10 * time.Second)
}

// announceTargets runs the cluster for a duration in which all targets announce themselves
// each second.
func (c *cluster) announceTargets(duration time.Duration) {
	for end := c.now.Add(duration); c.now < end; c.run(time.Second) {
		for _, n := range c.nodes {
			for _, target := range n.core.World().DescribeSelf().Targets {
				c.announce(n, string(target.ID.Service), carobreadiness.Ready)
			}
		}
	}
}

func TestNodesFindEachOtherThroughTheLog(t *testing.T) {
	for _, n := range []int{2, 3, 10, 40} {
		c := newCluster(t)
		c.addConvergedNodes(n)
	}
}

func TestNodesFindEachOtherWhenLogIsUnavailableAtStart(t *testing.T) {
	c := newCluster(t)
	c.logUnavailable = true
	c.addNodes(10)
	c.run(5 * time.Second)
	c.logUnavailable = false
	require.Less(t, c.runUntil(20*time.Second, c.converged), 20*time.Second)
}

func TestDeadNodeIsSuspectedThenUnreachable(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	victim := c.nodes[7]
	victim.dead = true
	took := c.runUntil(30*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n.livenessOf(victim) == carobliveness.Unreachable })
	})
	require.Less(t, took, 15*time.Second)
	require.True(t, c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Len() == 19 }), "the target of an unreachable node receives no calls")
	require.NotNil(t, c.nodes[0].core.World().Peers.Get(victim.self.Node), "an unreachable node stays known, since it may return")
	for _, n := range c.nodes {
		for _, other := range c.nodes {
			if n != other && !n.dead && other != victim {
				require.Equal(t, carobliveness.Alive, n.livenessOf(other))
			}
		}
	}
}

// A node that one other node cannot reach must not become unreachable, because others
// relay the heartbeats.
func TestHeartbeatIsRelayedByOtherNodes(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	victim := c.nodes[3]
	c.drops = func(from, to *node) bool {
		return from == c.nodes[4] && to == victim || from == victim && to == c.nodes[4]
	}
	for range 120 {
		c.run(500 * time.Millisecond)
		require.True(t, c.forAllRunning(func(n *node) bool { return n == victim || n.livenessOf(victim) != carobliveness.Unreachable }))
	}
}

// A node that is paused for 2 s must refute the suspicion, and one that is paused for
// longer must be found again.
func TestPausedNodeRefutesSuspicion(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(10)
	paused := c.nodes[2]
	paused.dead = true
	c.run(2 * time.Second)
	paused.dead = false
	c.run(20 * time.Second)
	require.True(t, c.converged())
	paused.dead = true
	c.run(time.Minute)
	paused.dead = false
	require.Less(t, c.runUntil(time.Minute, c.converged), time.Minute, "a node that was unreachable is found again")
}

// A network partition between two regions must not make nodes forget each other, so that
// the regions find each other again after it.
func TestPartitionedRegionIsKeptAndRejoins(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	c.drops = func(from, to *node) bool { return from.self.Region != to.self.Region }
	c.announceTargets(time.Hour)
	require.True(t, c.forAllRunning(func(n *node) bool { return n.core.World().Peers.Len() == 19 }), "nodes of the other region stay known")
	require.True(t, c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Len() == 10 }), "only targets of the own region receive calls")
	c.drops = func(_, _ *node) bool { return false }
	require.Less(t, c.runUntil(time.Minute, c.converged), 30*time.Second)
}

func TestNewIncarnationReplacesNodeAtOnce(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	c.nodes[5].dead = true
	replacement := c.startNode(5, 2)
	took := c.runUntil(10*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n == replacement || n.livenessOf(replacement) == carobliveness.Alive })
	})
	require.Less(t, took, 3*time.Second)
}

// Two nodes with the same name run at different addresses, which is a mistake of the
// operator. The one that started first must record it in an audit.
func TestDuplicateNodeNameIsAudited(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(5)
	first := c.nodes[1]
	c.startNode(1, 2).self.PeerAddress = "10.9.9.9:7002"
	second := c.nodes[len(c.nodes)-1]
	c.byAddress[first.self.PeerAddress] = first
	second.core.World().Self.PeerAddress = second.self.PeerAddress
	c.byAddress[second.self.PeerAddress] = second
	c.run(10 * time.Second)
	require.Equal(t, 1, first.audits["member "+string(second.self.PeerAddress)])
}

func TestLeavingTargetIsKnownWithinSeconds(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(40)
	leaver := c.nodes[17]
	id := carobtargetid.ID{Service: "service-0", Name: "node-17"}
	c.announce(leaver, "service-0", carobreadiness.Leaving)
	took := c.runUntil(10*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving })
	})
	require.Less(t, took, 3*time.Second)
}

// Targets start to leave one after the other. The throttle and the round interval of
// gossip must not delay such a series of small changes.
func TestSuccessiveLeavingTargetsAreKnownWithinSeconds(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	for i := range 20 {
		id := carobtargetid.ID{Service: carobservice.Service(fmt.Sprint("service-", i%17)), Name: carobname.Name(fmt.Sprint("node-", i))}
		c.announce(c.nodes[i], string(id.Service), carobreadiness.Ready)
		c.run(100 * time.Millisecond)
		c.announce(c.nodes[i], string(id.Service), carobreadiness.Leaving)
		took := c.runUntil(10*time.Second, func() bool {
			return c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving })
		})
		require.Less(t, took, 3*time.Second)
	}
}

// The description of a node with 50 targets is larger than the intended size of a gossip
// message. It must be sent nevertheless.
func TestNodeWithManyTargetsIsGossiped(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(10)
	const targets = 50
	for i := range targets {
		c.announce(c.nodes[0], fmt.Sprint("more-", i), carobreadiness.Ready)
	}
	took := c.runUntil(20*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Len() == 10+targets })
	})
	require.Less(t, took, 3*time.Second)
}

func TestSilentTargetIsLeaving(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(3)
	c.announceTargets(5 * time.Second)
	id := carobtargetid.ID{Service: "service-1", Name: "node-1"}
	require.Equal(t, carobreadiness.Ready, c.nodes[1].core.World().Targets.Get(id).Readiness)
	c.run(6 * time.Second)
	require.True(t, c.forAllRunning(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving }))
}

func TestGracefulShutdownAnnouncesLeaving(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(20)
	leaver := c.nodes[4]
	c.tick(leaver, carobinbox.Inbox{Stop: true})
	require.Less(t, c.runUntil(10*time.Second, func() bool { return leaver.stopped }), 10*time.Second)
	leaver.dead = true
	took := c.runUntil(10*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n.livenessOf(leaver) == carobliveness.Left })
	})
	require.Less(t, took, time.Second)
	c.run(11 * time.Minute)
	require.True(t, c.forAllRunning(func(n *node) bool { return n.core.World().Peers.Len() == 18 }), "nodes that left are removed after a retention period")
}

// publish appends a change of the profile lookups and returns its offset. base is the
// offset of the revision that it replaces.
func (c *cluster) publish(base caroboffset.Offset) caroboffset.Offset {
	profile := carobprofile.NewProfile("lookups")
	profile.Base = base
	data, err := json.Marshal(carobchange.Change{Profile: profile, Who: "alma"})
	require.NoError(c.t, err)
	return c.append(carobstream.Profiles, data)
}

// revision returns the offset of the profile lookups in force; BeforeFirst if there is none.
func (n *node) revision() caroboffset.Offset {
	if revision := n.core.World().Profiles.Get("lookups"); revision != nil {
		return revision.Offset
	}
	return caroboffset.BeforeFirst
}

// The log becomes unavailable when only one node has read a change. The change must reach
// the others through gossip.
func TestChangeReachesAllNodesWhileLogIsUnavailable(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(40)
	first := c.publish(caroboffset.BeforeFirst)
	c.run(time.Second)
	require.True(t, c.forAllRunning(func(n *node) bool { return n.revision() == first }))
	c.logUnavailable = true
	second := c.publish(first)
	c.logUnavailable = false
	c.deliverRecords(c.nodes[30], carobstream.Profiles, c.streams[carobstream.Profiles][second:])
	c.logUnavailable = true
	took := c.runUntil(15*time.Second, func() bool {
		return c.forAllRunning(func(n *node) bool { return n.revision() == second })
	})
	require.Less(t, took, 5*time.Second)
}

// A node starts after the log has expired all changes, and without a connection to other
// nodes. It must find the profile in a snapshot in the log.
func TestSnapshotReplacesExpiredChanges(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(5)
	newest := c.publish(caroboffset.BeforeFirst)
	for range 5 {
		newest = c.publish(newest)
	}
	c.run(time.Second)
	c.firstProfile = newest + 1
	for _, n := range c.nodes {
		c.deliverRecords(n, carobstream.Profiles, nil)
	}
	c.run(5 * time.Second)
	c.drops = func(_, _ *node) bool { return true }
	fresh := c.startNode(5, 1)
	c.run(time.Second)
	require.Equal(t, newest, fresh.revision(), "a new node without peers reads the profile from the log")
	require.LessOrEqual(t, len(c.streams[carobstream.Profiles]), int(newest)+3, "few nodes append the snapshot")
}

// A snapshot must be appended again before the log expires the last one, even if no
// profile changes.
func TestSnapshotIsRenewed(t *testing.T) {
	c := newCluster(t)
	c.addConvergedNodes(5)
	c.publish(caroboffset.BeforeFirst)
	c.run(3*time.Hour + 10*time.Minute)
	count := len(c.streams[carobstream.Profiles]) - 1
	require.GreaterOrEqual(t, count, 3)
	require.LessOrEqual(t, count, 6)
}
