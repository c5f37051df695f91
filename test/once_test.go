package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startOnce starts two nodes and a target that counts how often it ran, under a
// profile whose calls with one idempotency key run at most once.
func startOnce(t *testing.T) (m mesh, log string, runs *atomic.Int64) {
	t.Helper()
	log = start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	m = mesh{near: startNode(t, "near", log), far: startNode(t, "far", log)}
	file := filepath.Join(t.TempDir(), "once.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "lookups", "once": "key"}`), 0o600))
	output, code := run("publish", "-log", log, file)
	require.Equal(t, 0, code, output)
	runs = &atomic.Int64{}
	m.serve(t, "payouts", listenHTTP(t, func(w http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodPost {
			w.Header().Set("Content-Type", "text/x-receipt")
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprintf(w, "payout %d", runs.Add(1))
		}
	}))
	return m, log, runs
}

// pay sends a payout with a key.
func pay(node *process, key string, deadline time.Duration) (answer, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/payouts", strings.NewReader("5 shares"))
	if err != nil {
		return answer{}, err
	}
	rq.Host = "payouts"
	rq.Header.Set("Carobknot-Deadline", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		rq.Header.Set("Idempotency-Key", key)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(data)}, err
}

// A payout that is submitted many times at once, and again later, at both nodes,
// runs once, and everybody gets its answer.
func TestKeyRunsOnce(t *testing.T) {
	m, _, runs := startOnce(t)
	nodes := []*process{m.near, m.far}
	answers := make([]answer, 40)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i], _ = pay(nodes[i%2], "turn 7", 20*time.Second) })
	}
	group.Wait()
	later, err := pay(m.far, "turn 7", 20*time.Second)
	require.NoError(t, err)
	for _, an := range append(answers, later) {
		require.Equal(t, http.StatusCreated, an.status, an.body)
		require.Equal(t, "payout 1", an.body)
		require.Equal(t, "text/x-receipt", an.header.Get("Content-Type"))
		require.Equal(t, "answered", an.header.Get("Carobknot-Outcome"))
	}
	require.EqualValues(t, 1, runs.Load())
}

// While the log is out, calls with a key are told that they did not run, and
// calls without one go on.
func TestKeysNeedTheLog(t *testing.T) {
	m, log, runs := startOnce(t)
	fault(t, log, `{"out": true}`)
	an, err := pay(m.near, "turn 8", time.Second)
	require.NoError(t, err)
	require.Equal(t, "unclaimed", an.header.Get("Carobknot-Kind"))
	require.Equal(t, "not-run", an.header.Get("Carobknot-Outcome"))
	require.Zero(t, runs.Load())
	an, err = pay(m.near, "", time.Second)
	require.NoError(t, err)
	require.Equal(t, "payout 1", an.body)

	fault(t, log, `{"lose": 3}`)
	an, err = pay(m.near, "turn 8", 20*time.Second)
	require.NoError(t, err)
	require.Equal(t, "payout 2", an.body, "the key was not used up")
	require.EqualValues(t, 2, runs.Load())
}
