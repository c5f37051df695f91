package carobrouting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against sending by old reports: a new report has to be used unchanged,
// and an old one replaced by the mean of all targets and this node's open
// attempts.
func TestOldReportsLoseWeight(t *testing.T) {
	const ms = time.Millisecond
	withReportAge := func(age time.Duration) []candidate {
		candidates := newCandidates([]float64{12, 2, 4}, []time.Duration{200 * ms, 20 * ms, 20 * ms})
		for i := range candidates {
			candidates[i].reportAge, candidates[i].latencyAge = age, age
			candidates[i].load.OpenAttempts = i
		}
		return candidates
	}
	current := withReportAge(0)
	estimateLoads(current)
	require.InDelta(t, 12, current[0].inFlight, 0.01)
	require.InDelta(t, 2, current[1].inFlight, 0.01)
	require.Equal(t, 200*ms, current[0].latency)

	old := withReportAge(time.Minute)
	estimateLoads(old)
	// The mean of the reports is 6, and the open attempts are 0, 1 and 2.
	require.InDelta(t, 5, old[0].inFlight, 0.01)
	require.InDelta(t, 6, old[1].inFlight, 0.01)
	require.InDelta(t, 7, old[2].inFlight, 0.01)
	// The latency decays too, so that the slow target receives calls again.
	require.Less(t, old[0].latency, 21*ms)
}
