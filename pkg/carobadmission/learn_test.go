package carobadmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

func TestLatencyIsThatOfTheNewestStarts(t *testing.T) {
	const ms = time.Millisecond
	start := carobinstant.Instant(time.Hour)
	gt := &carobgate.Gate{}
	for i := range 50 {
		at := start.Add(time.Duration(i) * 2 * ms)
		learn(gt, at, at.Add(20*ms))
	}
	require.InDelta(t, 20, float64(gt.Latency/ms), 1)
	// Slow calls of a jump that ended before the newest starts change little.
	jump := start.Add(-300 * ms)
	for range 12 {
		learn(gt, jump, jump.Add(450*ms))
	}
	require.InDelta(t, 20, float64(gt.Latency/ms), 2)
	// Slow calls that started last do.
	for i := range 20 {
		at := start.Add((200 + time.Duration(i)) * ms)
		learn(gt, at, at.Add(200*ms))
	}
	require.Greater(t, gt.Latency, 150*ms)
	// After a pause one call tells nearly all.
	at := start.Add(time.Minute)
	learn(gt, at, at.Add(20*ms))
	require.InDelta(t, 20, float64(gt.Latency/ms), 2)
}
