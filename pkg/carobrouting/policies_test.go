package carobrouting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// made returns candidates with 12 slots each.
func made(flights []float64, latencies []time.Duration) []candidate {
	cds := make([]candidate, len(flights))
	for i := range cds {
		cds[i] = candidate{
			slots: 12, flight: flights[i], reported: flights[i], latency: latencies[i],
			load: &carobload.Load{Open: int(flights[i]), Turn: uint64(i)},
		}
	}
	return cds
}

func TestPolicies(t *testing.T) {
	const ms = time.Millisecond
	even := []time.Duration{20 * ms, 21 * ms, 19 * ms, 20 * ms}
	for _, tc := range []struct {
		name      string
		policy    carobword.Word
		flights   []float64
		latencies []time.Duration
		// want are the only indices that may be picked.
		want []int
	}{
		{"random takes any", "random", []float64{9, 0, 0, 0}, even, []int{0, 1, 2, 3}},
		{"round robin takes the first again", "roundrobin", []float64{9, 0, 0, 0}, even, []int{0}},
		{"least own", "leastown", []float64{9, 3, 2, 5}, even, []int{2}},
		{"two choices never takes the most crowded", "twochoices", []float64{9, 3, 2, 5}, even, []int{1, 2, 3}},
		{"prequal takes the fastest of the cold", "prequal", []float64{2, 3, 12, 5}, even, []int{0, 3}},
		{"expected takes the least crowded of equals", "expected", []float64{6, 3, 2, 5}, even, []int{2}},
		{"expected passes a straggler by", "expected", []float64{6, 3, 0, 5}, []time.Duration{20 * ms, 20 * ms, 200 * ms, 20 * ms}, []int{1}},
		{"expected counts the wait for a slot", "expected", []float64{24, 24, 24, 11}, even, []int{3}},
		{"expected takes the unknown", "expected", []float64{6, 3, 0, 5}, []time.Duration{20 * ms, 20 * ms, 0, 20 * ms}, []int{2}},
		{"unknown rules are the default", "nosuch", []float64{6, 3, 2, 5}, even, []int{2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			seen := map[int]bool{}
			for range 200 {
				seen[policyOf(tc.policy).pick(r, made(tc.flights, tc.latencies))] = true
			}
			for i := range seen {
				require.Contains(t, tc.want, i)
			}
		})
	}
	require.Equal(t, 0, policyOf("twochoices").pick(rand.New(rand.NewPCG(1, 1)), made([]float64{5}, even[:1])))
	require.True(t, Known("expected"))
	require.False(t, Known("nosuch"))
}
