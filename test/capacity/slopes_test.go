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

// allowance is what control may cost a node at the letter's size, in bytes a
// second.
const allowance = 29_000

// settledCluster is a cluster of n nodes that know each other.
func settledCluster(tb testing.TB, n int) *cluster {
	tb.Helper()
	c := newCluster(tb)
	c.grow(n)
	c.runUntil(5*time.Minute, c.together)
	c.run(20 * time.Second)
	return c
}

// spend returns the bytes and batches that a node sends a second, on average and
// at most, and the processor time that it takes, while something goes on.
func (c *cluster) spend(d time.Duration, during func()) (bytes, most, batches float64, processor time.Duration) {
	for _, n := range c.nodes {
		n.bytes, n.batches = 0, 0
	}
	began := time.Now() //nolint:forbidigo // the harness measures the time that the cores take
	start := c.now
	during()
	c.run(d - c.now.Sub(start))
	took := time.Since(began) //nolint:forbidigo // as above
	seconds := c.now.Sub(start).Seconds()
	for _, n := range c.nodes {
		bytes += float64(n.bytes) / seconds / float64(len(c.nodes))
		batches += float64(n.batches) / seconds / float64(len(c.nodes))
		most = max(most, float64(n.bytes)/seconds)
	}
	return bytes, most, batches, time.Duration(float64(took) / seconds / float64(len(c.nodes)))
}

// TestSlopeOfMembership measures what gossip costs against the number of members:
// at rest, and while one target in a hundred leaves and returns each second.
// Processor time is that of the whole harness, encoding and decoding included.
func TestSlopeOfMembership(t *testing.T) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "members\tcase\tB/s\tmost B/s\tbatches/s\tcpu us/s\tKiB a member\t")
	for _, n := range []int{10, 30, 100, 300} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := settledCluster(t, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		member := float64(after.HeapAlloc-before.HeapAlloc) / 1024 / float64(n*n)
		row := func(name string, during func()) {
			bytes, most, batches, processor := c.spend(20*time.Second, during)
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.1f\t%d\t%.2f\t\n", n, name, bytes, most, batches, processor.Microseconds(), member)
			require.Less(t, most, float64(allowance))
		}
		row("rest", func() {})
		row("churn", func() {
			state := carobreadiness.Leaving
			for i := range 20 {
				for j := range max(1, n/100) {
					nd := c.nodes[(i/2*7+j)%n]
					c.announce(nd, string(nd.core.World().Describe().Targets[0].ID.Service), state)
				}
				if state == carobreadiness.Leaving {
					state = carobreadiness.Ready
				} else {
					state = carobreadiness.Leaving
				}
				c.run(time.Second)
			}
		})
		row("joins", func() { c.grow(max(1, n/10)) })
	}
	require.NoError(t, table.Flush())
}
