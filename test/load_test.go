package test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The load command checks that each response is complete and belongs to its call. It
// must find no fault, through the nodes and directly at the target.
func TestLoadFindsResponsesIntact(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	first := startNode(t, "first", log)
	second := startNode(t, "second", log)
	target := start(t, "target", "-id", "lookups/a", "-profile", "lookups", "-admin", first.addresses["admin"],
		"-latency", "1ms", "-shape", "lognormal")
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	nodes := []*process{first, second}
	for _, node := range nodes {
		callUntilAnswered(t, node, "lookups", "haul")
	}
	for _, tc := range []struct {
		name  string
		flags []string
	}{
		{"small", []string{"-size", "512B", "-count", "300", "-rate", "300", "-keys", "50%"}},
		{"long responses", []string{"-answer", "3MiB", "-count", "3"}},
		{"long requests", []string{"-size", "3MiB", "-answer", "1B", "-count", "3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			report := filepath.Join(t.TempDir(), "report.json")
			args := append([]string{
				"load", "-nodes", nodes[0].addresses["call"] + "," + nodes[1].addresses["call"], "-service", "lookups",
				"-direct", target.addresses["target"], "-duration", "1m", "-deadline", "30s", "-report", report,
			}, tc.flags...)
			output, code := run(args...)
			require.Equal(t, 0, code, output)
			data, err := os.ReadFile(report)
			require.NoError(t, err)
			var loads []struct{ Calls, Good, Wrong int }
			require.NoError(t, json.Unmarshal(data, &loads))
			require.Len(t, loads, 2)
			for _, load := range loads {
				require.Positive(t, load.Calls)
				require.Equal(t, load.Calls, load.Good, output)
			}
		})
	}
}
