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
	type send struct {
		at     carobinstant.Instant
		amount int
	}
	rapid.Check(t, func(r *rapid.T) {
		th := NewThrottle(Config{Rate: rate, Burst: burst})
		now, sends := carobinstant.Instant(1), []send{}
		for range rapid.IntRange(1, 60).Draw(r, "amounts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "gap")) * time.Millisecond)
			amount := rapid.IntRange(1, largest).Draw(r, "amount")
			if th.Allow(now, amount) {
				sends = append(sends, send{at: now, amount: amount})
			}
		}
		for from := range sends {
			sum := 0
			for _, later := range sends[from:] {
				sum += later.amount
				allowed := burst + rate*later.at.Sub(sends[from].at).Seconds() + largest
				require.LessOrEqual(r, float64(sum), allowed)
			}
		}
	})
}
