package carobrouting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobname"
)

// newCandidates returns candidates with 12 slots each.
func newCandidates(inFlight []float64, latencies []time.Duration) []candidate {
	candidates := make([]candidate, len(inFlight))
	for i := range candidates {
		candidates[i] = candidate{
			slots: 12, inFlight: inFlight[i], reportedCalls: inFlight[i], latency: latencies[i],
			load: &carobload.Load{OpenAttempts: int(inFlight[i]), LastSendNumber: uint64(i)},
		}
	}
	return candidates
}

// Guards against policies that pick a target other than by their rule, given
// the same loads and latencies.
func TestPolicyPicks(t *testing.T) {
	const ms = time.Millisecond
	similar := []time.Duration{20 * ms, 21 * ms, 19 * ms, 20 * ms}
	for _, tc := range []struct {
		name      string
		policy    carobname.Name
		inFlight  []float64
		latencies []time.Duration
		// want has the only indices that may be picked.
		want []int
	}{
		{"random picks any target", "random", []float64{9, 0, 0, 0}, similar, []int{0, 1, 2, 3}},
		{"round robin picks the target with the oldest turn", "roundrobin", []float64{9, 0, 0, 0}, similar, []int{0}},
		{"leastown picks the fewest open attempts", "leastown", []float64{9, 3, 2, 5}, similar, []int{2}},
		{"twochoices never picks the highest utilisation", "twochoices", []float64{9, 3, 2, 5}, similar, []int{1, 2, 3}},
		{"prequal picks the lowest latency of the candidates that are not hot", "prequal", []float64{2, 3, 12, 5}, similar, []int{0, 3}},
		{"expected picks the lowest utilisation at similar latencies", "expected", []float64{6, 3, 2, 5}, similar, []int{2}},
		{"expected avoids a target of high latency", "expected", []float64{6, 3, 0, 5}, []time.Duration{20 * ms, 20 * ms, 200 * ms, 20 * ms}, []int{1}},
		{"expected includes the wait for a slot", "expected", []float64{24, 24, 24, 11}, similar, []int{3}},
		{"expected picks a target of unknown latency", "expected", []float64{6, 3, 0, 5}, []time.Duration{20 * ms, 20 * ms, 0, 20 * ms}, []int{2}},
		{"expected counts the load if no latency is known", "expected", []float64{24, 0, 24, 24}, []time.Duration{0, 0, 0, 0}, []int{1}},
		{"local counts the load if no latency is known", "local", []float64{24, 0, 24, 24}, []time.Duration{0, 0, 0, 0}, []int{1}},
		{"an unknown policy name selects the default", "nosuch", []float64{6, 3, 2, 5}, similar, []int{2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			seen := map[int]bool{}
			for range 200 {
				seen[policyOf(tc.policy).pick(rng, newCandidates(tc.inFlight, tc.latencies))] = true
			}
			for i := range seen {
				require.Contains(t, tc.want, i)
			}
		})
	}
	require.Equal(t, 0, policyOf("twochoices").pick(rand.New(rand.NewPCG(1, 1)), newCandidates([]float64{5}, similar[:1])))
	require.True(t, HasPolicy("expected"))
	require.False(t, HasPolicy("nosuch"))
}
