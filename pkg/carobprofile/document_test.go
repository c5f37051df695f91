package carobprofile_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobprofile"
)

// Guards against a key or default of a profile that the operators' page
// docs/PROFILES.md does not have.
func TestPageHasAllKeysAndDefaults(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROFILES.md")
	require.NoError(t, err)
	data, err := json.Marshal(carobprofile.NewProfile(""))
	require.NoError(t, err)
	var defaults map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &defaults))
	for key, value := range defaults {
		defaultText := string(value)
		switch key {
		case "name":
			require.Contains(t, string(page), "\n| `name` | none, needed |")
			continue
		case "base":
			require.Contains(t, string(page), "\n| `base` | the revision in force |")
			continue
		case "keep":
			defaultText = `"64KiB"`
		}
		require.Contains(t, string(page), fmt.Sprintf("\n| `%s` | `%s` |", key, defaultText))
	}
}
