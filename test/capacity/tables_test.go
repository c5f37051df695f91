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

// TestTickCost measures an empty tick and the memory of a call, against the rows
// that the tables have.
func TestTickCost(t *testing.T) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "members\topen calls\tempty tick us\tarrival us\tB a call\t")
	for _, members := range []int{10, 100} {
		c := settledCluster(t, members)
		c.publish(caroboffset.BeforeFirst)
		c.heartbeat(2 * time.Second)
		n := c.nodes[0]
		opened := 0
		for _, calls := range []int{0, 1000, 5000} {
			before := heapBytes()
			arrival := float64(0)
			if more := calls - opened; more > 0 {
				arrival = micros(more, func(i int) { n.open(c.now, uint64(opened+i+1)) })
			}
			bytes := float64(0)
			if calls > opened {
				bytes = (float64(heapBytes()) - float64(before)) / float64(calls-opened)
			}
			opened = calls
			const ticks = 1000
			empty := micros(ticks, func(int) { n.core.Tick(c.now, carobinbox.Inbox{}) })
			_, _ = fmt.Fprintf(table, "%d\t%d\t%.2f\t%.2f\t%.0f\t\n", members, n.core.World().Calls.Len(), empty, arrival, bytes)
		}
	}
	require.NoError(t, table.Flush())
}

// open has a call come that waits for an answer for long.
func (n *node) open(now carobinstant.Instant, sequence uint64) {
	n.core.Tick(now, carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{
		Call:    carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: sequence},
		Service: "service-0", Timeout: time.Hour,
	}}})
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// micros returns how long one of n runs takes.
func micros(n int, run func(i int)) float64 {
	began := time.Now() //nolint:forbidigo // the harness measures the time that the core takes
	for i := range n {
		run(i)
	}
	return float64(time.Since(began).Microseconds()) / float64(n) //nolint:forbidigo // as above
}

// TestFoldCost measures how many profile records a second a node folds.
func TestFoldCost(t *testing.T) {
	const records = 20_000
	log := make([]carobrecord.Record, records)
	for i := range log {
		pf := carobprofile.NewProfile("p")
		pf.Base = caroboffset.Offset(i - 1)
		data, err := json.Marshal(carobchange.Change{Profile: pf, Who: "alma"})
		require.NoError(t, err)
		log[i] = carobrecord.Record{Stream: carobstream.Profiles, Offset: caroboffset.Offset(i), Data: data}
	}
	w := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	fold := carobfold.NewSystem()
	each := micros(records, func(i int) {
		w.BeginTick(carobinbox.Inbox{Records: log[i : i+1]})
		fold.Run(w, 1)
	})
	require.EqualValues(t, records-1, w.Profiles.Get("p").Offset)
	fmt.Printf("profile records folded: %.1f us each, %.0f a second, %d bytes each\n", each, 1e6/each, len(log[records-1].Data))
}
