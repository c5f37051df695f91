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

// fault commands the stand-in for the log.
func fault(t *testing.T, log, command string) {
	t.Helper()
	rq, err := http.NewRequest(http.MethodPut, log+"/fault", strings.NewReader(command))
	require.NoError(t, err)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, http.StatusNoContent, rs.StatusCode)
}

const lookups = "../examples/profiles/lookups.json"

func TestPublishSettlesLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		code        int
		want        string
	}{
		{"answer lost", `{"lose": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"append dropped", `{"drop": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"lost and dropped", `{"lose": 1, "drop": 1}`, 0, "accepted: profile lookups at offset 1\n"},
		{"all dropped", `{"drop": 9}`, 5, "unknown"},
		{"outage", `{"out": true}`, 4, "not accepted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
			_, code := run("publish", "-log", log, lookups)
			require.Equal(t, 0, code)
			fault(t, log, c.fault)
			output, code := run("publish", "-log", log, lookups)
			require.Equal(t, c.code, code, output)
			require.Contains(t, output, c.want)
		})
	}
}

// The answer is lost and the log cannot be read: the printed command settles it.
func TestPublishUnknownIsSettledLater(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	file := filepath.Join(t.TempDir(), "rota.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "rota"}`), 0o600))
	relay := newDeafRelay(t, log)
	output, code := run("publish", "-log", relay, file)
	require.Equal(t, 5, code, output)
	settle := regexp.MustCompile(`-settle (\S+)`).FindStringSubmatch(output)
	require.Len(t, settle, 2, output)

	output, code = run("profiles", "-log", log, "-settle", settle[1])
	require.Equal(t, 0, code, output)
	require.Equal(t, "accepted: profile rota at offset 0\n", output)
	fault(t, log, `{"out": true}`)
	_, code = run("profiles", "-log", log, "-settle", settle[1])
	require.Equal(t, 5, code)
}

// newDeafRelay passes on to the log until the first append, whose answer it loses
// with all that follows.
func newDeafRelay(t *testing.T, log string) string {
	t.Helper()
	rl := &relay{log: log}
	return rl.listen(t)
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	file := filepath.Join(t.TempDir(), "rota.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "rota", "base": -1}`), 0o600))
	const operators = 4
	codes := make(chan int, operators)
	var all sync.WaitGroup
	for range operators {
		all.Go(func() {
			_, code := run("publish", "-log", log, file)
			codes <- code
		})
	}
	all.Wait()
	close(codes)
	count := map[int]int{}
	for code := range codes {
		count[code]++
	}
	require.Equal(t, map[int]int{0: 1, 3: operators - 1}, count)
}
