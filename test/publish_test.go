package test

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// setFault sets the fault that the log command emulates, as JSON; {} clears it.
func setFault(t *testing.T, log, command string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, log+"/fault", strings.NewReader(command))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

const lookupsProfile = "../examples/profiles/lookups.json"

// A publish whose append gets no response reads the log, and appends again if the
// change is not there. Exit code 5 says that the outcome is unknown, 4 that the change
// was not accepted.
func TestPublishAfterLostResponse(t *testing.T) {
	for _, tc := range []struct {
		name, fault string
		code        int
		want        string
	}{
		{"response lost", `{"lose": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"append dropped", `{"drop": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"lost and dropped", `{"lose": 1, "drop": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"all dropped", `{"drop": 9}`, 5, "unknown"},
		{"outage", `{"out": true}`, 4, "not accepted"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
			_, code := run("publish", "-log", log, lookupsProfile)
			require.Equal(t, 0, code)
			setFault(t, log, tc.fault)
			output, code := run("publish", "-log", log, lookupsProfile)
			require.Equal(t, tc.code, code, output)
			require.Contains(t, output, tc.want)
		})
	}
}

// The response to the append is lost and the log cannot be read, so the outcome of
// publish is unknown. The command that it prints finds the outcome later, and exits
// with code 5 while the log is unavailable.
func TestSettleFindsUnknownOutcome(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	file := filepath.Join(t.TempDir(), "rota.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "rota"}`), 0o600))
	proxyURL := startLossyLogProxy(t, log)
	output, code := run("publish", "-log", proxyURL, file)
	require.Equal(t, 5, code, output)
	settle := regexp.MustCompile(`-settle (\S+)`).FindStringSubmatch(output)
	require.Len(t, settle, 2, output)

	output, code = run("profiles", "-log", log, "-settle", settle[1])
	require.Equal(t, 0, code, output)
	require.Equal(t, "accepted: profile rota at offset 0\n", output)
	setFault(t, log, `{"out": true}`)
	_, code = run("profiles", "-log", log, "-settle", settle[1])
	require.Equal(t, 5, code)
}

// startLossyLogProxy starts a logProxy and returns its URL.
func startLossyLogProxy(t *testing.T, log string) string {
	t.Helper()
	proxy := &logProxy{log: log}
	return proxy.start(t)
}

// Of four concurrent publishes with the same base, one is accepted, and the others
// exit with code 3, conflict.
func TestConcurrentPublishesConflict(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	file := filepath.Join(t.TempDir(), "rota.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "rota", "base": -1}`), 0o600))
	const operators = 4
	codes := make(chan int, operators)
	var group sync.WaitGroup
	for range operators {
		group.Go(func() {
			_, code := run("publish", "-log", log, file)
			codes <- code
		})
	}
	group.Wait()
	close(codes)
	counts := map[int]int{}
	for code := range codes {
		counts[code]++
	}
	require.Equal(t, map[int]int{0: 1, 3: operators - 1}, counts)
}
