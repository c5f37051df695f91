//go:build capacity

package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobfold"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// TestTickCost measures the time of an empty tick, and the time and memory that an arriving
// call takes, as the tables of members and calls grow.
func TestTickCost(t *testing.T) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "members\topen calls\tempty tick us\tarrival us\tB a call\t")
	for _, members := range []int{10, 100} {
		cluster := newConvergedCluster(t, members)
		cluster.publish(caroboffset.BeforeFirst)
		cluster.announceTargets(2 * time.Second)
		node := cluster.nodes[0]
		opened := 0
		for _, calls := range []int{0, 1000, 5000} {
			before := heapBytes()
			arrival := float64(0)
			if added := calls - opened; added > 0 {
				arrival = microsecondsPerRun(added, func(i int) { node.openCall(cluster.now, uint64(opened+i+1)) })
			}
			bytes := float64(0)
			if calls > opened {
				bytes = (float64(heapBytes()) - float64(before)) / float64(calls-opened)
			}
			opened = calls
			const ticks = 1000
			empty := microsecondsPerRun(ticks, func(int) { node.core.Tick(cluster.now, carobinbox.Inbox{}) })
			_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.0f\t\n", members, node.core.World().Calls.Len(), empty, arrival, bytes)
		}
	}
	require.NoError(t, table.Flush())
}

// openCall runs a tick with the arrival of a call, which stays open for up to an hour.
func (n *node) openCall(now carobinstant.Instant, sequence uint64) {
	n.core.Tick(now, carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{
		Call:    carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: sequence},
		Service: "service-0", Timeout: time.Hour,
	}}})
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// microsecondsPerRun returns the average time of a run.
func microsecondsPerRun(runs int, run func(i int)) float64 {
	start := time.Now() //nolint:forbidigo // measures the processor time of the core
	for i := range runs {
		run(i)
	}
	return float64(time.Since(start).Microseconds()) / float64(runs) //nolint:forbidigo // as above
}

// TestFoldCost measures how many profile records a node applies per second.
func TestFoldCost(t *testing.T) {
	const records = 20_000
	log := make([]carobrecord.Record, records)
	for i := range log {
		profile := carobprofile.NewProfile("p")
		profile.Base = caroboffset.Offset(i - 1)
		data, err := json.Marshal(carobchange.Change{Profile: profile, Who: "alma"})
		require.NoError(t, err)
		log[i] = carobrecord.Record{Stream: carobstream.Profiles, Offset: caroboffset.Offset(i), Data: data}
	}
	world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	fold := carobfold.NewSystem()
	each := microsecondsPerRun(records, func(i int) {
		world.BeginTick(carobinbox.Inbox{Records: log[i : i+1]})
		fold.Run(world, 1)
	})
	require.EqualValues(t, records-1, world.Profiles.Get("p").Offset)
	fmt.Printf("profile records folded: %.1f us each, %.0f a second, %d bytes each\n", each, 1e6/each, len(log[records-1].Data))
}
