package carobroutepoller_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lastVersion is the version of the table that testNewTableIsAppliedInTime publishes.
const lastVersion = 1000

// Guards against calls that are handled by an old route table because the nodes that read the store get no response from it.
func TestNodesApplyANewTableInTimeWhileTheReadersGetNoResponse(t *testing.T) {
	const silenced = 4
	testNewTableIsAppliedInTime(t, 12, func(c *cluster) { c.store.silenceLastReaders(silenced) })
}

// Guards against nodes that rely on others, or on a read that the store holds, to learn of a new route table.
func TestNodesApplyANewTableInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    int
		disturb func(c *cluster)
	}{
		{"nothing fails", 12, func(*cluster) {}},
		{"one node", 1, func(*cluster) {}},
		{"no node receives messages of others", 12, func(c *cluster) { c.disconnected.Store(true) }},
		{"held reads miss the new table", 12, func(c *cluster) { c.store.missHeld() }},
		{"the readers are gone", 12, func(c *cluster) { c.stop(0, 1, 2) }},
		{"tables change several times a second", 12, func(c *cluster) { c.publishOften() }},
	} {
		t.Run(test.name, func(t *testing.T) { testNewTableIsAppliedInTime(t, test.size, test.disturb) })
	}
}

// Guards against nodes that keep an old route table since others, whose messages are slow, send them confirmations of it that look newer than they are.
func TestNodesApplyANewTableInTimeWhileMessagesAreSlow(t *testing.T) {
	const silenced = 4
	for _, test := range []struct {
		name    string
		size    int
		disturb func(c *cluster)
	}{
		{"of three nodes", 12, func(c *cluster) { c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 3, 4, 8) }},
		{"of the readers", 12, func(c *cluster) { c.delayMessages(300*time.Millisecond, 300*time.Millisecond, 0, 1, 2) }},
		{"of all nodes", 12, func(c *cluster) {
			c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		}},
		{"of three nodes, and the readers get no response", 12, func(c *cluster) {
			c.delayMessages(600*time.Millisecond, 600*time.Millisecond, 3, 7, 11)
			c.store.silenceLastReaders(silenced)
			require.NoError(c.t, c.timer.Wait(c.t.Context(), warmup))
		}},
		{"of a node that is alone", 1, func(c *cluster) { c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 0) }},
		{"of a quarter of 80 nodes", 80, func(c *cluster) {
			c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 44, 48, 52, 56, 60, 64, 68, 72, 76)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { testNewTableIsAppliedInTime(t, test.size, test.disturb) })
	}
}

// testNewTableIsAppliedInTime disturbs a cluster, publishes a new table some time later, and
// requires that all nodes that the store answers route by it once the timeout has passed.
func testNewTableIsAppliedInTime(t *testing.T, size int, disturb func(c *cluster)) {
	t.Helper()
	const step = 300 * time.Millisecond
	for delay := time.Duration(0); delay < 3*time.Second; delay += step {
		t.Run(delay.String(), func(t *testing.T) {
			runCluster(t, size, func(ctx context.Context, c *cluster) {
				disturb(c)
				require.NoError(c.t, c.timer.Wait(ctx, delay))
				c.store.publish(routesTo(c.t, lastVersion, "new"))
				require.NoError(c.t, c.timer.Wait(ctx, applyTimeout))
				for _, node := range c.nodes {
					if _, _, answers := c.store.state(node.id); answers && !node.stopped {
						require.EqualValues(c.t, "new", c.handledBy(ctx, node), "node %s", node.id)
					}
				}
			})
		})
	}
}

// Guards against reads of the store, each of which has a price, that grow with the number of nodes.
func TestConfirmationsTakeFewReads(t *testing.T) {
	const maxReadsPerSecond = 2
	for _, size := range []int{1, 3, 12, 60, 80, 300} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			runCluster(t, size, func(ctx context.Context, c *cluster) {
				before := c.store.readCount()
				const seconds = 20
				require.NoError(c.t, c.timer.Wait(ctx, seconds*time.Second))
				c.t.Logf("%d nodes: %.1f reads a second", size, float64(c.store.readCount()-before)/seconds)
				require.LessOrEqual(c.t, c.store.readCount()-before, maxReadsPerSecond*seconds)
			})
		})
	}
}
