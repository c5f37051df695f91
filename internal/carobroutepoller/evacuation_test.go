package carobroutepoller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// evacuationTimeout is the time within which an evacuation that the store acknowledged must be
// in force on all nodes that can reach the store or another node.
const evacuationTimeout = 5 * time.Second

// evacuate replaces the set of data centres that are evacuated.
func (s *store) evacuate(centres ...carobcentre.Centre) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evacuated, s.end = centres, s.end+1
}

// silence makes the store give no response to a node.
func (s *store) silence(node *clusterNode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent[node.id] = true
}

func (s *store) listEvacuations() carobevacuationlist.EvacuationList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return carobevacuationlist.EvacuationList{Active: s.evacuated, End: s.end, Complete: true}
}

// evacuated reports whether a node has a data centre as evacuated.
func (c *cluster) evacuated(ctx context.Context, node *clusterNode, centre carobcentre.Centre) bool {
	c.t.Helper()
	evacuated := false
	require.NoError(c.t, node.control.Load().Query(ctx, func(world *carobworld.World) { evacuated = world.IsEvacuated(centre) }))
	return evacuated
}

// Guards against nodes that send calls into an evacuated data centre after the bound since they cannot read the store, know no reader that can, or receive no messages.
func TestEvacuationIsInForceInTime(t *testing.T) {
	const nodes, third = 12, 4
	for _, test := range []struct {
		name    string
		disturb func(c *cluster)
	}{
		{"nothing fails", func(*cluster) {}},
		{"a third cannot read the store, among them those that read last", func(c *cluster) { c.store.silenceLastReaders(third) }},
		{"all nodes of a data centre cannot read the store", func(c *cluster) {
			for i := 0; i < nodes; i += 3 {
				c.store.silence(c.nodes[i])
			}
		}},
		{"only one node can read the store", func(c *cluster) {
			for _, node := range c.nodes[:nodes-1] {
				c.store.silence(node)
			}
		}},
		{"no node receives messages of others", func(c *cluster) { c.disconnected.Store(true) }},
		{"the readers are gone", func(c *cluster) { c.stop(0, 1, 2) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			const step = 700 * time.Millisecond
			for delay := time.Duration(0); delay < 3*time.Second; delay += step {
				t.Run(delay.String(), func(t *testing.T) {
					runCluster(t, nodes, func(ctx context.Context, c *cluster) {
						test.disturb(c)
						require.NoError(c.t, c.timer.Wait(ctx, delay))
						c.store.evacuate("c1")
						require.NoError(c.t, c.timer.Wait(ctx, evacuationTimeout))
						for _, node := range c.nodes {
							if !node.stopped {
								require.True(c.t, c.evacuated(ctx, node, "c1"), "node %s", node.id)
							}
						}
					})
				})
			}
		})
	}
}

// Guards against an evacuation that some nodes keep after the operator has taken it back.
func TestEvacuationEndsEverywhere(t *testing.T) {
	runCluster(t, 12, func(ctx context.Context, c *cluster) {
		c.store.evacuate("c1", "c2")
		require.NoError(c.t, c.timer.Wait(ctx, evacuationTimeout))
		c.store.silenceLastReaders(4)
		c.store.evacuate("c2")
		require.NoError(c.t, c.timer.Wait(ctx, 2*evacuationTimeout))
		for _, node := range c.nodes {
			require.False(c.t, c.evacuated(ctx, node, "c1"), "node %s", node.id)
			require.True(c.t, c.evacuated(ctx, node, "c2"), "node %s", node.id)
		}
	})
}
