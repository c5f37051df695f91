package carobdemand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobdemand"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Guards against organisations that count as far behind after a refused call or two, and against one whose calls are all refused and that does not count as far behind.
func TestFarBehindNeedsEvidence(t *testing.T) {
	const overall, now = 0.6, carobinstant.Instant(time.Hour)
	for _, c := range []struct {
		name            string
		served, refused int
		behind          bool
	}{
		{"no calls", 0, 0, false},
		{"two refused", 0, 2, false},
		{"four refused", 0, 4, true},
		{"half of the share", 30, 70, false},
		{"a quarter of the share", 15, 85, true},
		{"the share", 60, 40, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			demand := &carobdemand.Demand{}
			for range c.served {
				demand.Add(now, true)
			}
			for range c.refused {
				demand.Add(now, false)
			}
			require.Equal(t, c.behind, demand.IsBehind(now, overall))
			require.False(t, demand.IsBehind(now.Add(time.Minute), overall), "a minute later")
			require.True(t, demand.Negligible(now.Add(3*time.Minute)))
		})
	}
}
