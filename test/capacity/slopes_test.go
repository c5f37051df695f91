//go:build capacity

package capacity

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobreadiness"
)

// maxBytesPerSecond is the maximum that a node may send for membership at the cluster size
// that the requirements name, in bytes per second.
const maxBytesPerSecond = 29_000

// newConvergedCluster returns a cluster of a number of nodes that know each other.
func newConvergedCluster(tb testing.TB, size int) *cluster {
	tb.Helper()
	c := newCluster(tb)
	c.addNodes(size)
	c.runUntil(5*time.Minute, c.converged)
	c.run(20 * time.Second)
	return c
}

// measureTraffic runs the cluster for a duration that begins with during. It returns, per
// second, the bytes that a node sends on average and at most, its batches on average, and
// the average processor time of a node.
func (c *cluster) measureTraffic(duration time.Duration, during func()) (bytes, maximum, batches float64, processor time.Duration) {
	for _, n := range c.nodes {
		n.bytes, n.batches = 0, 0
	}
	wallStart := time.Now() //nolint:forbidigo // measures the processor time of the cores
	start := c.now
	during()
	c.run(duration - c.now.Sub(start))
	wallTime := time.Since(wallStart) //nolint:forbidigo // as above
	seconds := c.now.Sub(start).Seconds()
	for _, n := range c.nodes {
		bytes += float64(n.bytes) / seconds / float64(len(c.nodes))
		batches += float64(n.batches) / seconds / float64(len(c.nodes))
		maximum = max(maximum, float64(n.bytes)/seconds)
	}
	return bytes, maximum, batches, time.Duration(float64(wallTime) / seconds / float64(len(c.nodes)))
}

// TestSlopeOfMembership measures what gossip costs as the number of members grows: without
// changes (rest), while one target in a hundred leaves and returns each second (churn), and
// while a tenth more nodes join. The processor time is that of the whole harness, encoding
// and decoding included.
func TestSlopeOfMembership(t *testing.T) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "members\tcase\tB/s\tmost B/s\tbatches/s\tcpu us/s\tKiB a member\t")
	for _, size := range []int{10, 30, 100, 300} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cluster := newConvergedCluster(t, size)
		runtime.GC()
		runtime.ReadMemStats(&after)
		memberSize := float64(after.HeapAlloc-before.HeapAlloc) / 1024 / float64(size*size)
		row := func(name string, during func()) {
			bytes, maximum, batches, processor := cluster.measureTraffic(20*time.Second, during)
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.1f\t%d\t%.2f\t\n", size, name, bytes, maximum, batches, processor.Microseconds(), memberSize)
			require.Less(t, maximum, float64(maxBytesPerSecond))
		}
		row("rest", func() {})
		row("churn", func() {
			state := carobreadiness.Leaving
			for i := range 20 {
				for j := range max(1, size/100) {
					node := cluster.nodes[(i/2*7+j)%size]
					cluster.announce(node, string(node.core.World().DescribeSelf().Targets[0].ID.Service), state)
				}
				if state == carobreadiness.Leaving {
					state = carobreadiness.Ready
				} else {
					state = carobreadiness.Leaving
				}
				cluster.run(time.Second)
			}
		})
		row("joins", func() { cluster.addNodes(max(1, size/10)) })
	}
	require.NoError(t, table.Flush())
}
