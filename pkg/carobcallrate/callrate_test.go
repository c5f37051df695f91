package carobcallrate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
)

// Guards against a malformed limit that stops all calls to a target or lets them all through.
func TestParseLimit(t *testing.T) {
	for text, want := range map[string]carobcallrate.CallRate{"4.2": 4.2, "7": 7, "0": 0.25, "0.001": 0.25, "1e2": 100} {
		limit, err := carobcallrate.ParseLimit(text)
		require.NoError(t, err, text)
		require.InDelta(t, float64(want), float64(limit), 0, text)
		again, err := carobcallrate.ParseLimit(limit.String())
		require.NoError(t, err)
		require.InDelta(t, float64(limit), float64(again), 0, text)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "1e999", "five", "5 a second"} {
		_, err := carobcallrate.ParseLimit(text)
		require.Error(t, err, text)
	}
}
