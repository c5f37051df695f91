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

// Every variant is a profile that nodes take, with a rule that exists.
func TestVariantsAreProfiles(t *testing.T) {
	names := map[string]bool{}
	for _, vr := range variants {
		data, err := vr.profile(7)
		require.NoError(t, err)
		var pf carobprofile.Profile
		require.NoError(t, json.Unmarshal(data, &pf), vr.name)
		require.True(t, carobrouting.HasPolicy(pf.Policy), vr.name)
		require.EqualValues(t, 7, pf.Base)
		names[vr.name] = true
	}
	for _, name := range usual {
		require.True(t, names[name], name)
	}
}

func TestCasesAreBehaviours(t *testing.T) {
	names := map[string]bool{}
	for _, cs := range cases {
		for _, change := range []string{healthy, cs.all, cs.first, cs.healed} {
			bh := carobbehaviour.NewBehaviour()
			if change != "" {
				require.NoError(t, json.Unmarshal([]byte(change), &bh), cs.name)
			}
		}
		names[cs.name] = true
	}
	for _, name := range deciding {
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
	table(&out, "lechfeld", results)
	require.Contains(t, out.String(), "2.0 (1.0-3.0)")
	out.Reset()
	table(&out, "lechfeld", results[:2])
	require.Contains(t, out.String(), "2.0 (1.0-3.0)", "the median of two is their mean")
	require.NotContains(t, out.String(), "noisy")
}
