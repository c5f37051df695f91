package carobquotasettings_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobquotasettings"
)

// Guards against a number of tokens with which a window that begins with full buckets goes beyond
// the bound.
func TestTokensAndRefillKeepWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := carobquotasettings.QuotaSettings{
			Window:  carobduration.Duration(rapid.Int64Range(1, 60_000_000_000).Draw(t, "window")),
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		rate, burst := rapid.Float64Range(0, 1000).Draw(t, "rate"), rapid.Float64Range(0, 1000).Draw(t, "burst")
		existing := settings.MaxTokens(carobcallrate.CallRate(rate), burst)
		refill := rate * settings.Window.Duration().Seconds()
		require.LessOrEqual(t, existing+refill, settings.MaxCalls(carobcallrate.CallRate(rate), burst)+1e-6)
	})
}

// Guards against settings under which no bound is defined.
func TestInvalidSettingsAreRejected(t *testing.T) {
	require.NoError(t, carobquotasettings.NewQuotaSettings().Check())
	for name, change := range map[string]func(settings *carobquotasettings.QuotaSettings){
		"no window":        func(settings *carobquotasettings.QuotaSettings) { settings.Window = 0 },
		"negative overage": func(settings *carobquotasettings.QuotaSettings) { settings.Overage = -0.1 },
		"infinite slack":   func(settings *carobquotasettings.QuotaSettings) { settings.Slack = math.Inf(1) },
		"no number":        func(settings *carobquotasettings.QuotaSettings) { settings.Overage = math.NaN() },
	} {
		settings := carobquotasettings.NewQuotaSettings()
		change(&settings)
		require.Error(t, settings.Check(), name)
	}
}
