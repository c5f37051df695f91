package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobreadiness"
)

// farBytesOfChanges returns the bytes that all nodes send to other data centres for each of some
// changes of targets, beyond what they send without changes.
func farBytesOfChanges(t *testing.T, size int) int {
	t.Helper()
	const changes = 20
	c := newCluster(t)
	c.addConvergedNodes(size)
	c.run(30 * time.Second)
	measure := func(during func(i int)) int {
		before := 0
		for _, n := range c.nodes {
			before += n.farBytes
		}
		for i := range changes {
			during(i)
			c.run(time.Second)
		}
		after := 0
		for _, n := range c.nodes {
			after += n.farBytes
		}
		return after - before
	}
	atRest := measure(func(int) {})
	changing := measure(func(i int) {
		state := []carobreadiness.Readiness{carobreadiness.Leaving, carobreadiness.Ready}[i%2]
		c.announce(c.nodes[i/2], fmt.Sprint("service-", i/2%17), state)
	})
	return (changing - atRest) / changes
}

// Guards against gossip that crosses between data centres once for each node that learns of a
// change: with expensive links between data centres, its bytes then cost more than the calls
// that a large fleet serves.
func TestFarBytesOfAChangeDoNotGrowWithNodes(t *testing.T) {
	small, large := farBytesOfChanges(t, 30), farBytesOfChanges(t, 120)
	t.Logf("bytes to other data centres for a change: %d with 30 nodes, %d with 120", small, large)
	// With 5 other data centres, 2 copies each, a description and the overhead of a message
	// take about 4 kB. Reconciliation may add as much.
	const most = 8_000
	require.Less(t, small, most)
	require.Less(t, large, most)
}
