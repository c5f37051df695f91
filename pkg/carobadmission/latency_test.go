package carobadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against a latency estimate that slow calls of a past load spike dominate
// because they end after faster calls that started later.
func TestLatencyFollowsMostRecentStarts(t *testing.T) {
	const ms = time.Millisecond
	start := carobinstant.Instant(time.Hour)
	state := &carobadmissionstate.AdmissionState{}
	for i := range 50 {
		at := start.Add(time.Duration(i) * 2 * ms)
		updateLatency(state, at, at.Add(20*ms))
	}
	require.InDelta(t, 20, float64(state.Latency/ms), 1)
	// Slow calls of a spike that started before the newest calls change little.
	spike := start.Add(-300 * ms)
	for range 12 {
		updateLatency(state, spike, spike.Add(450*ms))
	}
	require.InDelta(t, 20, float64(state.Latency/ms), 2)
	// Slow calls that started last raise the estimate.
	for i := range 20 {
		at := start.Add((200 + time.Duration(i)) * ms)
		updateLatency(state, at, at.Add(200*ms))
	}
	require.Greater(t, state.Latency, 150*ms)
	// After a minute without calls one call replaces nearly the whole estimate.
	at := start.Add(time.Minute)
	updateLatency(state, at, at.Add(20*ms))
	require.InDelta(t, 20, float64(state.Latency/ms), 2)
}
