package fuzz

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobshard"

	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// The tests of this file reproduce faults that fuzzing found, each in a simulation of its
// own.

// A node is replaced just after it read a change that its peer has not read yet. The new
// incarnation must not put the older revision of the peer in force, although the peer
// answers before the log does.
func TestReplacedNodeKeepsTheNewerProfile(t *testing.T) {
	sim := newSimulation(1, 2, plan{})
	sim.advance(time.Second)
	sim.nodes[1].freeze()
	sim.publish("lookups", "no", 1500*time.Millisecond, sim.currentRevision("lookups"))
	sim.advance(200 * time.Millisecond)
	require.Equal(t, sim.currentRevision("lookups"), sim.oracle.inForce["n0/lookups"])
	stream := sim.log.stream(carobstream.Profiles)
	newest := stream.records[len(stream.records)-1]
	sim.nodes[1].deferred = nil // n1 loses the records and messages that it had not handled yet
	sim.nodes[1].readStream(carobstream.Profiles, newest.Offset+1)
	sim.nodes[1].thaw()
	sim.log.extraDelay = retryDelay
	sim.startNode(0)
	sim.advance(3 * time.Second)
	sim.log.extraDelay = 0
	sim.advance(time.Second)
	require.Empty(t, sim.oracle.violation)
}

// A target starts to leave while jobs are queued for it. The running ones must be answered
// and the queued ones end as not run, since no other target is left.
func TestQueuedJobsEndWhenTargetLeaves(t *testing.T) {
	sim := newSimulation(1, 2, plan{})
	sim.advance(time.Second)
	leaving := sim.targets[1]
	leaving.durationFactor = 100
	for _, target := range sim.targets[len(services):] {
		target.withdraw()
	}
	sim.advance(500 * time.Millisecond)
	for range 6 {
		sim.nodes[0].startCall(1, "", 0)
	}
	sim.advance(20 * time.Millisecond)
	require.Positive(t, sim.nodes[0].core.World().AdmissionStates.Get(leaving.id).Queued)
	leaving.setReadiness(carobreadiness.Leaving)
	sim.advance(4 * time.Second)
	sim.oracle.checkAllEnded()
	require.Empty(t, sim.oracle.violation)
	require.Equal(t, 2, sim.oracle.tally.Answered)
	require.Equal(t, 4, sim.oracle.tally.NotRun)
}

// A node shuts down with a keyed call that cannot be settled because the log is
// unavailable. The node must not request one tick after the other, and must stop.
func TestStoppingNodeDoesNotSpinWhileLogIsUnavailable(t *testing.T) {
	sim := newSimulation(1, 2, plan{})
	sim.advance(time.Second)
	sim.nodes[0].startCall(2, "key", 0)
	sim.advance(100 * time.Millisecond)
	sim.log.unavailable = true
	sim.nodes[0].stop()
	sim.nodes[1].stop()
	sim.advance(10 * time.Second)
	require.Empty(t, sim.oracle.violation)
	require.False(t, sim.nodes[0].alive)
}

// A target sheds a keyed call with status 503, which by its profile proves that nothing
// ran. A call with the same key must run once the target accepts calls again.
func TestKeyRunsAfterTargetShedIt(t *testing.T) {
	sim := newSimulation(1, 2, plan{})
	sim.advance(time.Second)
	for _, target := range sim.targets {
		target.fixedStatus = 503
	}
	sim.nodes[0].startCall(2, "key", 0)
	sim.advance(3 * time.Second)
	for _, target := range sim.targets {
		target.fixedStatus = 0
	}
	sim.nodes[0].startCall(2, "key", 0)
	sim.advance(3 * time.Second)
	sim.oracle.checkAllEnded()
	require.Empty(t, sim.oracle.violation)
	require.Equal(t, 1, sim.oracle.tally.Runs)
}

// The homes of shards depend on the liveness of nodes. After a node has died, each of the
// others must hold exactly the shards of which it considers itself the home.
func TestShardsOfDeadNodeGetNewHomes(t *testing.T) {
	sim := newSimulation(1, 3, plan{})
	sim.advance(2 * time.Second)
	sim.nodes[2].kill()
	sim.advance(10 * time.Second)
	for _, n := range sim.nodes[:2] {
		world := n.core.World()
		for i := range 50 {
			key := carobkey.Key{Service: "payouts", Text: strconv.Itoa(i)}
			home, _ := carobclaiming.Home(world, key)
			require.NotEqual(t, sim.nodes[2].self.Node, home)
			require.Equal(t, home == n.self.Node, world.Homes.Get(carobshard.Of(key)) != nil)
		}
	}
}
