package carobbench

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrouting"
)

// Guards against variants that nodes reject: the profile must decode and its policy
// must exist.
func TestVariantsAreValidProfiles(t *testing.T) {
	names := map[string]bool{}
	for _, variant := range variants {
		data, err := variant.profile(7)
		require.NoError(t, err)
		var profile carobprofile.Profile
		require.NoError(t, json.Unmarshal(data, &profile), variant.name)
		require.True(t, carobrouting.HasPolicy(profile.Policy), variant.name)
		require.EqualValues(t, 7, profile.Base)
		names[variant.name] = true
	}
	for _, name := range defaultVariants {
		require.True(t, names[name], name)
	}
}

// Guards against cases whose faults the stand-in target rejects.
func TestCasesHaveValidBehaviours(t *testing.T) {
	names := map[string]bool{}
	for _, benchCase := range cases {
		for _, change := range []string{healthy, benchCase.allTargets, benchCase.fault, benchCase.recovery} {
			behaviour := carobbehaviour.NewBehaviour()
			if change != "" {
				require.NoError(t, json.Unmarshal([]byte(change), &behaviour), benchCase.name)
			}
		}
		names[benchCase.name] = true
	}
	for _, name := range defaultCases {
		require.True(t, names[name], name)
	}
}

func TestTableShowsMedianAndRange(t *testing.T) {
	var results []result
	for round, hedges := range []float64{0.03, 0.01, 0.02} {
		results = append(results, result{
			Deployment: "lechfeld", Case: "steady80", Variant: "default", Round: round,
			Callers: carobsummary.NewSummary(carobsummary.Config{}), Capacity: 1, Hedges: hedges,
		})
	}
	var out bytes.Buffer
	writeTable(&out, "lechfeld", results)
	require.Contains(t, out.String(), "2.0 (1.0-3.0)")
	out.Reset()
	writeTable(&out, "lechfeld", results[:2])
	require.Contains(t, out.String(), "2.0 (1.0-3.0)", "the median of two is their mean")
	require.NotContains(t, out.String(), "noisy")
}
