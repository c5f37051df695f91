package carobthrottle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against a throttle that passes more in any period than the burst, the
// rate over the period, and the one amount that overdraws.
func TestThrottleLimitHoldsInEveryPeriod(t *testing.T) {
	const rate, burst, largest = 1000, 4000, 1500
	type spend struct {
		at     carobinstant.Instant
		amount int
	}
	rapid.Check(t, func(r *rapid.T) {
		th := NewThrottle(Config{Rate: rate, Burst: burst})
		now, spends := carobinstant.Instant(1), []spend{}
		for range rapid.IntRange(1, 60).Draw(r, "amounts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "gap")) * time.Millisecond)
			amount := rapid.IntRange(1, largest).Draw(r, "amount")
			if th.Allow(now, amount) {
				spends = append(spends, spend{at: now, amount: amount})
			}
		}
		for from := range spends {
			sum := 0
			for _, sp := range spends[from:] {
				sum += sp.amount
				allowed := burst + rate*sp.at.Sub(spends[from].at).Seconds() + largest
				require.LessOrEqual(r, float64(sum), allowed)
			}
		}
	})
}
