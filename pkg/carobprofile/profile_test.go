package carobprofile_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
)

// Guards against zero values for fields that a published profile leaves out.
func TestAbsentFieldsGetDefaults(t *testing.T) {
	var profile carobprofile.Profile
	require.NoError(t, json.Unmarshal([]byte(`{"name": "rota"}`), &profile))
	require.Equal(t, carobprofile.NewProfile("rota"), profile)
}

// Guards against a field that changes between publishing a profile and reading it
// from the log.
func TestProfileRoundTripsThroughJSON(t *testing.T) {
	profile := carobprofile.NewProfile("rota")
	data, err := json.Marshal(profile)
	require.NoError(t, err)
	var decoded carobprofile.Profile
	require.NoError(t, json.Unmarshal(data, &decoded))
	require.Equal(t, profile, decoded)
}

// Guards against a profile in the log with values that nodes cannot use.
func TestInvalidValuesAreRejected(t *testing.T) {
	for _, field := range []string{
		`"name": ""`, `"name": "Rota"`, `"name": 1`, `"base": -2`, `"base": "x"`, `"policy": ""`,
		`"spread": 0`, `"spread": 65`, `"deadline": "0s"`, `"deadline": "2h"`, `"deadline": 5`, `"deadline": "-1s"`,
		`"tries": 0`, `"tries": 11`, `"hedge": "101%"`, `"hedge": "-1%"`, `"hedge": 0.5`, `"queue": -1`, `"queue": 10001`,
		`"once": "twice"`, `"measure": "2m"`, `"measure": "-1s"`, `"eject": "200%"`, `"near": "x"`,
		`"keep": "17MiB"`, `"keep": 5`, `"refuse": "yes"`,
	} {
		t.Run(field, func(t *testing.T) {
			var profile carobprofile.Profile
			err := json.Unmarshal([]byte(`{"name": "rota", `+field+`}`), &profile)
			require.ErrorIs(t, err, carobkind.Invalid)
		})
	}
}
