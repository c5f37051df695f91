package carobroutepoller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// recoveryTimeout is the time after an outage of the store within which a node must have the
// newest route table.
const recoveryTimeout = 3 * time.Second

// Guards against a node that receives no messages of others and keeps an old route table since one or two of its reads failed.
func TestNodeApartAppliesANewTableInTimeAfterAFailedRead(t *testing.T) {
	for _, size := range []int{1, 12, 80} {
		for _, test := range []struct {
			name  string
			fault readFault
			reads int
		}{
			{"refused", readFault{refused: true}, 1},
			{"no response", readFault{lost: true}, 1},
			{"late response", readFault{delay: 1500 * time.Millisecond}, 1},
			{"two refused", readFault{refused: true}, 2},
			{"two without response", readFault{lost: true}, 2},
		} {
			t.Run(fmt.Sprintf("%s, %d nodes", test.name, size), func(t *testing.T) {
				testNewTableIsAppliedInTime(t, size, func(c *cluster) {
					c.disconnected.Store(true)
					failed := map[carobnodeid.ID]int{}
					c.store.failReads(func(node carobnodeid.ID) readFault {
						if failed[node] == test.reads {
							return readFault{}
						}
						failed[node]++
						return test.fault
					})
				})
			})
		}
	}
}

// Guards against a node that receives no messages of others and reads the store too late after the store has been silent for it.
func TestNodeApartAppliesANewTableInTimeAfterAnOutageOfTheStore(t *testing.T) {
	for _, size := range []int{1, 12, 80} {
		for _, outage := range []time.Duration{2, 4, 8, 16, 31} {
			t.Run(fmt.Sprintf("%d s, %d nodes", outage, size), func(t *testing.T) {
				const step = 350 * time.Millisecond
				for delay := time.Duration(0); delay < 3*time.Second; delay += step {
					runCluster(t, size, func(ctx context.Context, c *cluster) {
						require.NoError(t, c.timer.Wait(ctx, delay))
						c.store.failReads(func(carobnodeid.ID) readFault { return readFault{lost: true} })
						require.NoError(t, c.timer.Wait(ctx, (outage-1)*time.Second))
						c.disconnected.Store(true)
						c.store.publish(routesTo(c.t, lastVersion, "new"))
						require.NoError(t, c.timer.Wait(ctx, time.Second))
						c.store.failReads(nil)
						require.NoError(t, c.timer.Wait(ctx, recoveryTimeout))
						for _, node := range c.nodes {
							require.EqualValues(c.t, "new", c.handledBy(ctx, node), "node %s, outage from %s on", node.id, delay)
						}
					})
				}
			})
		}
	}
}

// Guards against a store that is slow for all nodes and whose responses none of them takes.
func TestTablesAreReadFromASlowStore(t *testing.T) {
	for _, size := range []int{1, 12, 80} {
		for _, delay := range []time.Duration{900, 1100, 1500, 2500} {
			t.Run(fmt.Sprintf("%d ms, %d nodes", delay, size), func(t *testing.T) {
				runCluster(t, size, func(ctx context.Context, c *cluster) {
					c.store.failReads(func(carobnodeid.ID) readFault { return readFault{delay: delay * time.Millisecond} })
					require.NoError(t, c.timer.Wait(ctx, warmup))
					c.store.publish(routesTo(c.t, lastVersion, "new"))
					require.NoError(t, c.timer.Wait(ctx, delay*time.Millisecond+applyTimeout))
					for _, node := range c.nodes {
						require.EqualValues(c.t, "new", c.handledBy(ctx, node), "node %s", node.id)
					}
				})
			})
		}
	}
}
