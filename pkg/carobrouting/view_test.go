package carobrouting

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// seen returns the view of one node of 60 in six data centres.
func seen(number, targets, spread int) []carobtargetid.ID {
	w := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", number)), Region: "r", Centre: carobcentre.Centre(fmt.Sprint(number % 6)),
		},
		Limits: caroblimits.NewLimits(),
	})
	gp := &carobgroup.Group{}
	for i := range targets {
		id := carobtargetid.ID{Service: "lookups", Name: carobword.Word(fmt.Sprintf("t%d", i))}
		node := carobnodeid.ID(fmt.Sprintf("n%d", i))
		gp.Targets = append(gp.Targets, id)
		w.Targets.Put(id, carobtarget.Target{ID: id, Node: node})
		w.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{
			Node: node, Region: "r", Centre: carobcentre.Centre(fmt.Sprint(i % 6)),
		}})
	}
	return view(w, gp, spread)
}

func TestViewsAreStableAndEven(t *testing.T) {
	const nodes, targets, spread = 60, 60, 16
	counts := map[carobtargetid.ID]int{}
	for n := range nodes {
		before, after := seen(n, targets, spread), seen(n, targets+1, spread)
		require.Len(t, before, spread)
		kept := 0
		for _, id := range before {
			counts[id]++
			for _, other := range after {
				if id == other {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, spread-1, "one target more takes the place of at most one")
	}
	for id, count := range counts {
		require.InDelta(t, spread, count, spread*0.75, id)
	}
	require.Len(t, counts, targets)
	require.Len(t, seen(0, 4, spread), 4)
}

func TestOwnCentreFirst(t *testing.T) {
	near := 0
	for _, id := range seen(0, 60, 16) {
		var number int
		_, err := fmt.Sscanf(string(id.Name), "t%d", &number)
		require.NoError(t, err)
		if number%6 == 0 {
			near++
		}
	}
	require.Equal(t, 10, near, "all ten targets of the own data centre are in view")
}

func TestNearestSpillsByLoad(t *testing.T) {
	made := func(flight float64) []candidate {
		return []candidate{{slots: 10, flight: flight, near: true}, {slots: 10}, {slots: 10, flight: 3}}
	}
	require.Len(t, nearest(made(7), 0.8), 1)
	require.Len(t, nearest(made(8), 0.8), 3)
	require.Len(t, nearest(made(0), 0), 3)
	slow := made(0)
	slow[0].latency, slow[1].latency = 100, 10
	require.Len(t, nearest(slow, 0.8), 3)
}
