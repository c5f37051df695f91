package carobrouting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
)

// Guards against a target that refuses most calls by its rate limit, and is tried first by each call since it looks idle.
func TestRateLimitLowersSlots(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   carobcallrate.CallRate
		latency time.Duration
		slots   int
	}{
		{"no limit", 0, 200 * time.Millisecond, 12},
		{"limit below the slots", 10, 400 * time.Millisecond, 4},
		{"limit above the slots", 100, 400 * time.Millisecond, 12},
		{"low limit", 1, 200 * time.Millisecond, 1},
		{"latency unknown", 10, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cd := candidate{slots: 12, latency: c.latency}
			cd.limitSlots(c.limit)
			require.Equal(t, c.slots, cd.slots)
		})
	}
}
