//go:build capacity

package capacity

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// organisations returns a number of organisations with a quota that is not reached.
func organisations(count int) []caroborganisation.Organisation {
	list := make([]caroborganisation.Organisation, count)
	for i := range list {
		name := fmt.Sprintf("organisation-%d", i)
		list[i] = caroborganisation.Organisation{
			ID: caroborganisationid.ID(name), Keys: []carobkeydigest.Digest{carobkeydigest.Of([]byte(name))}, Rate: 20, Burst: 20,
		}
	}
	return list
}

// TestSlopeOfQuotas measures the messages and bytes that quotas cost as the number of nodes grows:
// at rest, when each node only keeps its lease, and with 600 calls a second of 74 organisations,
// which come to all nodes alike. The allocator is the node that sends the most.
func TestSlopeOfQuotas(t *testing.T) {
	const callsPerSecond, organisationCount = 600, 74
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\tcase\tnode messages/s\tnode B/s\tallocator messages/s\tallocator B/s\t")
	for _, size := range []int{30, 100, 300} {
		cluster := newConvergedCluster(t, size)
		cluster.publish(caroboffset.BeforeFirst)
		routes := &carobroutetable.RouteTable{Version: 1, RequiresKey: true, Organisations: organisations(organisationCount)}
		require.NoError(t, routes.Check())
		for _, n := range cluster.nodes {
			cluster.send(n, messageLatency, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{routes}})
		}
		cluster.run(10 * time.Second)
		row := func(name string, during func(second int)) {
			const seconds = 10
			for _, n := range cluster.nodes {
				n.quotaBytes, n.quotaMessages = 0, 0
			}
			for second := range seconds {
				during(second)
				cluster.run(time.Second)
			}
			allocator, bytes, messages := cluster.nodes[0], 0, 0
			for _, n := range cluster.nodes {
				bytes, messages = bytes+n.quotaBytes, messages+n.quotaMessages
				if n.quotaMessages > allocator.quotaMessages {
					allocator = n
				}
			}
			require.Greater(t, allocator.quotaMessages, messages/3, "one node allocates")
			others := float64(size-1) * seconds
			_, _ = fmt.Fprintf(table, "%d\t%s\t%.2f\t%.0f\t%.1f\t%.0f\t\n", size, name,
				float64(messages-allocator.quotaMessages)/others, float64(bytes-allocator.quotaBytes)/others,
				float64(allocator.quotaMessages)/seconds, float64(allocator.quotaBytes)/seconds)
		}
		row("rest", func(int) {})
		random, sequence := rand.New(rand.NewPCG(1, 1)), uint64(0)
		row("calls", func(int) {
			for range callsPerSecond {
				sequence++
				n := cluster.nodes[random.IntN(size)]
				key := carobkeydigest.Of([]byte(fmt.Sprintf("organisation-%d", random.IntN(organisationCount))))
				cluster.send(n, time.Duration(random.Int64N(int64(time.Second))), carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{
					Call:    carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: sequence},
					Service: carobservice.Service("service-0"), Credential: carobcredential.Credential{Key: key, Valid: true},
				}}})
			}
		})
	}
	require.NoError(t, table.Flush())
}
