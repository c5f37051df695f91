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

// Each test here plays a fault that the fuzzing found, by itself.

// A node is replaced just after it read a change that its peer has not read yet.
// The peer answers before the log does.
func TestReplacedNodeKeepsTheNewerProfile(t *testing.T) {
	s := newSimulation(1, 2, plan{})
	s.advance(time.Second)
	s.nodes[1].freeze()
	s.publish("lookups", "no", 1500*time.Millisecond, s.current("lookups"))
	s.advance(200 * time.Millisecond)
	require.Equal(t, s.current("lookups"), s.oracle.force["n0/lookups"])
	st := s.log.of(carobstream.Profiles)
	newest := st.records[len(st.records)-1]
	s.nodes[1].thawed = nil // what n1 would have read and sent is lost
	s.nodes[1].tail(carobstream.Profiles, newest.Offset+1)
	s.nodes[1].thaw()
	s.log.slow = retryPause
	s.boot(0)
	s.advance(3 * time.Second)
	s.log.slow = 0
	s.advance(time.Second)
	require.Empty(t, s.oracle.broken)
}

// Jobs wait at a target when it says that it leaves.
func TestQueuedJobsLeaveWithTheirTarget(t *testing.T) {
	s := newSimulation(1, 2, plan{})
	s.advance(time.Second)
	leaving := s.targets[1]
	leaving.pace = 100
	for _, tg := range s.targets[len(services):] {
		tg.withdraw()
	}
	s.advance(500 * time.Millisecond)
	for range 6 {
		s.nodes[0].call(1, "", 0)
	}
	s.advance(20 * time.Millisecond)
	require.Positive(t, s.nodes[0].core.World().AdmissionStates.Get(leaving.id).Queued)
	leaving.turn(carobreadiness.Leaving)
	s.advance(4 * time.Second)
	s.oracle.settled()
	require.Empty(t, s.oracle.broken)
	require.Equal(t, 2, s.oracle.tally.Answered)
	require.Equal(t, 4, s.oracle.tally.NotRun)
}

// A node ends whose keyed call cannot be settled: the log is out.
func TestStoppingNodeSleeps(t *testing.T) {
	s := newSimulation(1, 2, plan{})
	s.advance(time.Second)
	s.nodes[0].call(2, "key", 0)
	s.advance(100 * time.Millisecond)
	s.log.out = true
	s.nodes[0].stop()
	s.nodes[1].stop()
	s.advance(10 * time.Second)
	require.Empty(t, s.oracle.broken)
	require.False(t, s.nodes[0].alive)
}

// A target sheds a keyed call, which by its profile proves that nothing ran. The
// same key must be able to run once the target takes work again.
func TestShedKeyRunsLater(t *testing.T) {
	s := newSimulation(1, 2, plan{})
	s.advance(time.Second)
	for _, tg := range s.targets {
		tg.status = 503
	}
	s.nodes[0].call(2, "key", 0)
	s.advance(3 * time.Second)
	for _, tg := range s.targets {
		tg.status = 0
	}
	s.nodes[0].call(2, "key", 0)
	s.advance(3 * time.Second)
	s.oracle.settled()
	require.Empty(t, s.oracle.broken)
	require.Equal(t, 1, s.oracle.tally.Runs)
}

// Homes of keys follow the standing of nodes: with one node dead, those that are
// left hold just the shards that they take to be theirs.
func TestHomesFollowTheDead(t *testing.T) {
	s := newSimulation(1, 3, plan{})
	s.advance(2 * time.Second)
	s.nodes[2].kill()
	s.advance(10 * time.Second)
	for _, n := range s.nodes[:2] {
		w := n.core.World()
		for i := range 50 {
			key := carobkey.Key{Service: "payouts", Text: strconv.Itoa(i)}
			home, _ := carobclaiming.Home(w, key)
			require.NotEqual(t, s.nodes[2].self.Node, home)
			require.Equal(t, home == n.self.Node, w.Homes.Get(carobshard.Of(key)) != nil)
		}
	}
}
