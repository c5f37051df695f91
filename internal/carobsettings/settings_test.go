package carobsettings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobsettings"
)

// valid holds valid settings, from which the tests derive others.
const valid = `{
  // the first node
  "name": "first",
  "region": "bavaria",
  "centre": "west",
  "call": "127.0.0.1:7001",
  "peer": "127.0.0.1:7002",
  "admin": "127.0.0.1:7003",
  "log": "http://127.0.0.1:7100",
  "seeds": ["127.0.0.1:7012"],
  "measure": {"rate": "1KiB/s"},
  "limits": {"calls": 10},
}`

// Guards against settings that are not decoded, and against keys left out that lose
// their defaults when a neighbouring key is set.
func TestParseKeepsDefaults(t *testing.T) {
	settings, err := carobsettings.Parse("node.json", []byte(valid))
	require.NoError(t, err)
	require.EqualValues(t, "first", settings.Name)
	require.InDelta(t, 1024, float64(settings.ProbeLimits.BytesPerSecond), 0)
	require.InDelta(t, 0.01, float64(settings.ProbeLimits.CPUShare), 1e-9, "a key that is left out must keep its default")
	require.Equal(t, 10, settings.Limits.Calls)
	require.Equal(t, 4000, settings.Limits.Peers)
}

// Guards against an example file that nodes no longer accept.
func TestParseAcceptsExample(t *testing.T) {
	data, err := os.ReadFile("../../examples/node.json")
	require.NoError(t, err)
	_, err = carobsettings.Parse("node.json", data)
	require.NoError(t, err)
}

// Guards against keys of one element of a list that count as repeated in the next one.
func TestParseAcceptsSeveralProfiles(t *testing.T) {
	const two = `"centre": "west", "profiles": [{"name": "one"}, {"name": "two"}],`
	settings, err := carobsettings.Parse("node.json", []byte(strings.Replace(valid, `"centre": "west",`, two, 1)))
	require.NoError(t, err)
	require.Len(t, settings.Profiles, 2)
}

// Guards against malformed settings that are accepted or ignored, and against errors
// without the place and the key.
func TestParseRejectsMalformedSettings(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", `"centre"`, `"center"`, `node.json:5:3: center: there is no such key`},
		{"unknown inner key", `"rate"`, `"speed"`, `node.json:11:15: measure.speed: there is no such key`},
		{"name", `"first"`, `"First"`, `node.json:3:11: name: node: name "First" has a character other than a-z, 0-9, '-' and '.'`},
		{"null", `"first"`, `null`, `node.json:3:11: name: a null is not allowed here`},
		{"type", `"first"`, `1`, `node.json:3:11: name: a number is not allowed here`},
		{"address", `127.0.0.1:7002`, `localhost:7002`, `node.json:7:11: peer: address "localhost:7002" is not an IP number and a port`},
		{"element of a list", `["127.0.0.1:7012"]`, "[\n\"nowhere\"]", `node.json:11:1: seeds: address "nowhere" is not an IP number and a port`},
		{"not a list", `["127.0.0.1:7012"]`, `"127.0.0.1:7012"`, `node.json:10:12: seeds: a list is needed`},
		{"rate", `"1KiB/s"`, `"1KiB"`, `node.json:11:23: measure.rate: rate "1KiB" does not end in "/s"`},
		{"log", `"http://127.0.0.1:7100"`, `"127.0.0.1"`, `node.json:9:10: log: "127.0.0.1" is not a URL such as "http://127.0.0.1:7100"`},
		{"limit", `10}`, `0}`, `node.json:12:23: limits.calls: must be at least 1`},
		{"missing", "\"name\": \"first\",\n  \"region\": \"bavaria\",", ``, `node.json: missing keys: name, region`},
		{"twice", `"centre": "west",`, `"centre": "west", "centre": "east",`, `node.json:5:21: centre: the key stands twice`},
		{"negative checks", `{"rate": "1KiB/s"}`, `{"checks": -1}`, `node.json:11:14: measure: checks: -1 is below 0`},
		{"quota", `{"calls": 10},`, `{"calls": 10}, "quota": {"overage": -1},`, `node.json:12:37: quota: overage and slack must be numbers of at least 0`},
		{"window of quotas", `{"calls": 10},`, `{"calls": 10}, "quota": {"window": "0s"},`, `node.json:12:48: quota.window: must be above 0`},
		{"capacity", `{"calls": 10},`, `{"calls": 10}, "capacity": -1,`, `node.json:12:40: capacity: -1 is not between 0 and 1000000`},
		{"second profile", `"centre": "west",`, `"centre": "west", "profiles": [{"name": "one"}, {"nam": "two"}],`, `node.json:5:52: profiles[1].nam: there is no such key`},
		{"cut", `"limits": {"calls": 10},`, ``, ``},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(valid, tc.old, tc.new, 1)
			require.NotEqual(t, valid, text)
			_, err := carobsettings.Parse("node.json", []byte(text))
			if tc.want == "" {
				require.NoError(t, err)
				return
			}
			require.EqualError(t, err, tc.want)
		})
	}
}
