package carobrouting

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// subsetOfNode returns the subset of one node of 60 in six data centres.
func subsetOfNode(number, targets, size int) []carobtargetid.ID {
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", number)), Region: "r", Centre: carobcentre.Centre(fmt.Sprint(number % 6)),
		},
		Limits: caroblimits.NewLimits(),
	})
	group := &carobgroup.Group{}
	for i := range targets {
		id := carobtargetid.ID{Service: "lookups", Name: carobname.Name(fmt.Sprintf("t%d", i))}
		node := carobnodeid.ID(fmt.Sprintf("n%d", i))
		group.Targets = append(group.Targets, id)
		world.Targets.Put(id, carobtarget.Target{ID: id, Node: node})
		world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{
			Node: node, Region: "r", Centre: carobcentre.Centre(fmt.Sprint(i % 6)),
		}})
	}
	return subset(world, group, size)
}

// Guards against subsets that reshuffle when a target is added, after which a
// node has no load report of most of its targets, and against targets that too
// many or no nodes send to.
func TestSubsetsAreStableAndEven(t *testing.T) {
	const nodes, targets, size = 60, 60, 16
	counts := map[carobtargetid.ID]int{}
	for n := range nodes {
		before, after := subsetOfNode(n, targets, size), subsetOfNode(n, targets+1, size)
		require.Len(t, before, size)
		kept := 0
		for _, id := range before {
			counts[id]++
			for _, other := range after {
				if id == other {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, size-1, "an added target replaces at most one")
	}
	for id, count := range counts {
		require.InDelta(t, size, count, size*0.75, id)
	}
	require.Len(t, counts, targets)
	require.Len(t, subsetOfNode(0, 4, size), 4)
}

// Guards against calls that leave the data centre though its targets would fit
// into the subset.
func TestSubsetPrefersSameCentre(t *testing.T) {
	sameCentre := 0
	for _, id := range subsetOfNode(0, 60, 16) {
		var number int
		_, err := fmt.Sscanf(string(id.Name), "t%d", &number)
		require.NoError(t, err)
		if number%6 == 0 {
			sameCentre++
		}
	}
	require.Equal(t, 10, sameCentre, "all ten targets of the own data centre are in the subset")
}

// Guards against overloaded or slow targets in the data centre while others are
// idle elsewhere, and against traffic to other data centres without need.
func TestPreferSameCentreSpillsOverWhenLoadedOrSlow(t *testing.T) {
	newCandidates := func(inFlight float64) []candidate {
		return []candidate{{slots: 10, inFlight: inFlight, sameCentre: true}, {slots: 10}, {slots: 10, inFlight: 3}}
	}
	require.Len(t, preferSameCentre(newCandidates(7), 0.8), 1)
	require.Len(t, preferSameCentre(newCandidates(8), 0.8), 3)
	require.Len(t, preferSameCentre(newCandidates(0), 0), 3)
	slow := newCandidates(0)
	slow[0].latency, slow[1].latency = 100, 10
	require.Len(t, preferSameCentre(slow, 0.8), 3)
}
