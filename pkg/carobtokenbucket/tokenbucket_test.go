package carobtokenbucket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against spending more than the initial capacity plus the rate over the
// elapsed time, whatever the steps and amounts.
func TestSpentTokensStayBelowRateAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 1000).Draw(t, "rate")
		capacity := rapid.Float64Range(0, 100).Draw(t, "most")
		var b TokenBucket
		start := carobinstant.Instant(1)
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			b.Fill(now, rate, capacity)
			b.Take(rapid.Float64Range(0, 50).Draw(t, "price"))
			require.GreaterOrEqual(t, b.Tokens, 0.0)
			require.LessOrEqual(t, b.Spent, capacity+rate*now.Sub(start).Seconds()+1e-6)
		}
	})
}
