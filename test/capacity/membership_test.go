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

// all reports whether something is so for all nodes that live.
func (c *cluster) all(is func(n *node) bool) bool {
	for _, n := range c.nodes {
		if !n.dead && !n.stopped && !is(n) {
			return false
		}
	}
	return true
}

// standing returns what a node says of another, or Gone if it knows nothing.
func (n *node) standing(other *node) carobliveness.Liveness {
	pr := n.core.World().Peers.Get(other.self.Node)
	if pr == nil || pr.Member.Incarnation != other.self.Incarnation {
		return carobliveness.Left
	}
	return pr.Member.Liveness
}

// together reports whether all living nodes know all others as alive, with their
// targets.
func (c *cluster) together() bool {
	living := 0
	for _, n := range c.nodes {
		if !n.dead && !n.stopped {
			living++
		}
	}
	return c.all(func(n *node) bool {
		known := 0
		for _, pr := range n.core.World().Peers.All() {
			if pr.Member.Liveness == carobliveness.Alive {
				known++
			}
		}
		return known == living-1 && n.core.World().Targets.Len() == living
	})
}

func (c *cluster) gather(n int) {
	c.t.Helper()
	c.grow(n)
	require.Less(c.t, c.runUntil(time.Minute, c.together), time.Minute, "%d nodes find each other", n)
	c.run(10 * time.Second)
}

// heartbeat has all targets announce themselves for a time.
func (c *cluster) heartbeat(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.run(time.Second) {
		for _, n := range c.nodes {
			for _, tg := range n.core.World().Describe().Targets {
				c.announce(n, string(tg.ID.Service), carobreadiness.Ready)
			}
		}
	}
}

func TestNodesFindEachOtherThroughTheLog(t *testing.T) {
	for _, n := range []int{2, 3, 10, 40} {
		c := newCluster(t)
		c.gather(n)
	}
}

func TestNodesFindEachOtherThoughTheLogIsOutAtFirst(t *testing.T) {
	c := newCluster(t)
	c.out = true
	c.grow(10)
	c.run(5 * time.Second)
	c.out = false
	require.Less(t, c.runUntil(20*time.Second, c.together), 20*time.Second)
}

func TestDeadNodeIsSuspectedThenUnreachable(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	gone := c.nodes[7]
	gone.dead = true
	took := c.runUntil(30*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.standing(gone) == carobliveness.Unreachable })
	})
	require.Less(t, took, 15*time.Second)
	require.True(t, c.all(func(n *node) bool { return n.core.World().Targets.Len() == 19 }), "its targets get no calls")
	require.NotNil(t, c.nodes[0].core.World().Peers.Get(gone.self.Node), "it may come back")
	for _, n := range c.nodes {
		for _, other := range c.nodes {
			if n != other && !n.dead && other != gone {
				require.Equal(t, carobliveness.Alive, n.standing(other))
			}
		}
	}
}

// A node that some cannot reach, and others can, is not given up.
func TestNodeIsProbedThroughOthers(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	victim := c.nodes[3]
	c.cut = func(from, to *node) bool {
		return from == c.nodes[4] && to == victim || from == victim && to == c.nodes[4]
	}
	for range 120 {
		c.run(500 * time.Millisecond)
		require.True(t, c.all(func(n *node) bool { return n == victim || n.standing(victim) != carobliveness.Unreachable }))
	}
}

func TestPausedNodeRefutes(t *testing.T) {
	c := newCluster(t)
	c.gather(10)
	paused := c.nodes[2]
	paused.dead = true
	c.run(2 * time.Second)
	paused.dead = false
	c.run(20 * time.Second)
	require.True(t, c.together())
	paused.dead = true
	c.run(time.Minute)
	paused.dead = false
	require.Less(t, c.runUntil(time.Minute, c.together), time.Minute, "it is found again after it was unreachable")
}

func TestRegionThatIsCutOffIsKeptAndComesBack(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	c.cut = func(from, to *node) bool { return from.self.Region != to.self.Region }
	c.heartbeat(time.Hour)
	require.True(t, c.all(func(n *node) bool { return n.core.World().Peers.Len() == 19 }), "none is dropped")
	require.True(t, c.all(func(n *node) bool { return n.core.World().Targets.Len() == 10 }), "only near targets get calls")
	c.cut = func(_, _ *node) bool { return false }
	require.Less(t, c.runUntil(time.Minute, c.together), 30*time.Second)
}

func TestReplacedNodeTakesOverAtOnce(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	c.nodes[5].dead = true
	next := c.start(5, 2)
	took := c.runUntil(10*time.Second, func() bool {
		return c.all(func(n *node) bool { return n == next || n.standing(next) == carobliveness.Alive })
	})
	require.Less(t, took, 3*time.Second)
}

func TestNameThatIsUsedTwiceIsNoted(t *testing.T) {
	c := newCluster(t)
	c.gather(5)
	elder := c.nodes[1]
	c.start(1, 2).self.PeerAddress = "10.9.9.9:7002"
	twin := c.nodes[len(c.nodes)-1]
	c.there[elder.self.PeerAddress] = elder
	twin.core.World().Self.PeerAddress = twin.self.PeerAddress
	c.there[twin.self.PeerAddress] = twin
	c.run(10 * time.Second)
	require.Equal(t, 1, elder.audits["member "+string(twin.self.PeerAddress)])
}

func TestLeavingTargetIsKnownWithinSeconds(t *testing.T) {
	c := newCluster(t)
	c.gather(40)
	leaver := c.nodes[17]
	id := carobtargetid.ID{Service: "service-0", Name: "node-17"}
	c.announce(leaver, "service-0", carobreadiness.Leaving)
	took := c.runUntil(10*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving })
	})
	require.Less(t, took, 3*time.Second)
}

// News in a row is not slowed down by what little it takes.
func TestTargetsThatLeaveOneAfterAnother(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	for i := range 20 {
		id := carobtargetid.ID{Service: carobservice.Service(fmt.Sprint("service-", i%17)), Name: carobname.Name(fmt.Sprint("node-", i))}
		c.announce(c.nodes[i], string(id.Service), carobreadiness.Ready)
		c.run(100 * time.Millisecond)
		c.announce(c.nodes[i], string(id.Service), carobreadiness.Leaving)
		took := c.runUntil(10*time.Second, func() bool {
			return c.all(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving })
		})
		require.Less(t, took, 3*time.Second)
	}
}

// A word that is longer than a message is meant to be still goes out.
func TestNodeWithManyTargetsIsKnown(t *testing.T) {
	c := newCluster(t)
	c.gather(10)
	const targets = 50
	for i := range targets {
		c.announce(c.nodes[0], fmt.Sprint("more-", i), carobreadiness.Ready)
	}
	took := c.runUntil(20*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.core.World().Targets.Len() == 10+targets })
	})
	require.Less(t, took, 3*time.Second)
}

func TestSilentTargetIsLeaving(t *testing.T) {
	c := newCluster(t)
	c.gather(3)
	c.heartbeat(5 * time.Second)
	id := carobtargetid.ID{Service: "service-1", Name: "node-1"}
	require.Equal(t, carobreadiness.Ready, c.nodes[1].core.World().Targets.Get(id).Readiness)
	c.run(6 * time.Second)
	require.True(t, c.all(func(n *node) bool { return n.core.World().Targets.Get(id).Readiness == carobreadiness.Leaving }))
}

func TestGracefulShutdownSaysGoodbye(t *testing.T) {
	c := newCluster(t)
	c.gather(20)
	leaver := c.nodes[4]
	c.step(leaver, carobinbox.Inbox{Stop: true})
	require.Less(t, c.runUntil(10*time.Second, func() bool { return leaver.stopped }), 10*time.Second)
	leaver.dead = true
	took := c.runUntil(10*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.standing(leaver) == carobliveness.Left })
	})
	require.Less(t, took, time.Second)
	c.run(11 * time.Minute)
	require.True(t, c.all(func(n *node) bool { return n.core.World().Peers.Len() == 18 }), "and is dropped by all")
}

func (c *cluster) publish(base caroboffset.Offset) caroboffset.Offset {
	pf := carobprofile.NewProfile("lookups")
	pf.Base = base
	data, err := json.Marshal(carobchange.Change{Profile: pf, Who: "alma"})
	require.NoError(c.t, err)
	return c.append(carobstream.Profiles, data)
}

func (n *node) revision() caroboffset.Offset {
	if rv := n.core.World().Profiles.Get("lookups"); rv != nil {
		return rv.Offset
	}
	return caroboffset.BeforeFirst
}

// One node has read a change when the log fails; all get it.
func TestChangeReachesAllThoughTheLogFails(t *testing.T) {
	c := newCluster(t)
	c.gather(40)
	first := c.publish(caroboffset.BeforeFirst)
	c.run(time.Second)
	require.True(t, c.all(func(n *node) bool { return n.revision() == first }))
	c.out = true
	second := c.publish(first)
	c.out = false
	c.give(c.nodes[30], carobstream.Profiles, c.streams[carobstream.Profiles][second:])
	c.out = true
	took := c.runUntil(15*time.Second, func() bool {
		return c.all(func(n *node) bool { return n.revision() == second })
	})
	require.Less(t, took, 5*time.Second)
}

// The log lets the changes expire, and a node starts after that.
func TestProfilesOutlastTheirRecords(t *testing.T) {
	c := newCluster(t)
	c.gather(5)
	newest := c.publish(caroboffset.BeforeFirst)
	for range 5 {
		newest = c.publish(newest)
	}
	c.run(time.Second)
	c.first = newest + 1
	for _, n := range c.nodes {
		c.give(n, carobstream.Profiles, nil)
	}
	c.run(5 * time.Second)
	c.cut = func(_, _ *node) bool { return true }
	fresh := c.start(5, 1)
	c.run(time.Second)
	require.Equal(t, newest, fresh.revision(), "by the log alone")
	require.LessOrEqual(t, len(c.streams[carobstream.Profiles]), int(newest)+3, "few nodes append the snapshot")
}

// A snapshot is appended again before the time is over, though nothing changes.
func TestSnapshotIsRenewed(t *testing.T) {
	c := newCluster(t)
	c.gather(5)
	c.publish(caroboffset.BeforeFirst)
	c.run(3*time.Hour + 10*time.Minute)
	count := len(c.streams[carobstream.Profiles]) - 1
	require.GreaterOrEqual(t, count, 3)
	require.LessOrEqual(t, count, 6)
}
