package carobprofile_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
)

func TestDefaults(t *testing.T) {
	var pf carobprofile.Profile
	require.NoError(t, json.Unmarshal([]byte(`{"name": "rota"}`), &pf))
	require.Equal(t, carobprofile.NewProfile("rota"), pf)
}

func TestProfileSurvivesTheLog(t *testing.T) {
	pf := carobprofile.NewProfile("rota")
	data, err := json.Marshal(pf)
	require.NoError(t, err)
	var again carobprofile.Profile
	require.NoError(t, json.Unmarshal(data, &again))
	require.Equal(t, pf, again)
}

func TestBadValuesAreRefused(t *testing.T) {
	for _, field := range []string{
		`"name": ""`, `"name": "Rota"`, `"name": 1`, `"base": -2`, `"base": "x"`, `"policy": ""`,
		`"spread": 0`, `"spread": 65`, `"deadline": "0s"`, `"deadline": "2h"`, `"deadline": 5`, `"deadline": "-1s"`,
		`"tries": 0`, `"tries": 11`, `"hedge": "101%"`, `"hedge": "-1%"`, `"hedge": 0.5`, `"queue": -1`, `"queue": 10001`,
		`"once": "twice"`, `"measure": "2m"`, `"measure": "-1s"`, `"eject": "200%"`, `"near": "x"`,
		`"keep": "17MiB"`, `"keep": 5`, `"refuse": "yes"`,
	} {
		t.Run(field, func(t *testing.T) {
			var pf carobprofile.Profile
			err := json.Unmarshal([]byte(`{"name": "rota", `+field+`}`), &pf)
			require.ErrorIs(t, err, carobkind.Invalid)
		})
	}
}
