package carobhistogram

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against quantiles that are off by more than 10 %, or that keep
// following old durations after the latency has changed.
func TestQuantilesFollowRecentDurations(t *testing.T) {
	var h Histogram
	require.Zero(t, h.Quantile(0.5))
	for i := 1; i <= 900; i++ {
		h.Add(time.Duration(i) * time.Millisecond)
	}
	for _, share := range []float64{0.01, 0.5, 0.95, 0.99, 1} {
		require.InEpsilon(t, share*900, float64(h.Quantile(share))/float64(time.Millisecond), 0.1)
	}
	for range 5000 {
		h.Add(time.Millisecond)
	}
	require.InEpsilon(t, 1, float64(h.Quantile(0.95))/float64(time.Millisecond), 0.1)
	require.LessOrEqual(t, h.Weight(), float64(halvingWeight))
	h.Add(0)
	h.Add(24 * time.Hour)
	require.Positive(t, h.Quantile(1))
}
