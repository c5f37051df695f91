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

// startKeyedService starts a log, two nodes and a target of service payouts, whose
// profile lets calls with the same idempotency key run at most once. runs counts
// the calls that the target ran.
func startKeyedService(t *testing.T) (pair nodePair, log string, runs *atomic.Int64) {
	t.Helper()
	log = start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	pair = nodePair{near: startNode(t, "near", log), far: startNode(t, "far", log)}
	file := filepath.Join(t.TempDir(), "once.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "lookups", "once": "key"}`), 0o600))
	output, code := run("publish", "-log", log, file)
	require.Equal(t, 0, code, output)
	runs = &atomic.Int64{}
	pair.announceTarget(t, "payouts", startHTTPTarget(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			w.Header().Set("Content-Type", "text/x-receipt")
			w.WriteHeader(http.StatusCreated)
			_, _ = fmt.Fprintf(w, "payout %d", runs.Add(1))
		}
	}))
	return pair, log, runs
}

// sendPayout sends a call of service payouts. It has no idempotency key if key is
// empty.
func sendPayout(node *process, key string, deadline time.Duration) (response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/payouts", strings.NewReader("5 shares"))
	if err != nil {
		return response{}, err
	}
	req.Host = "payouts"
	req.Header.Set("Carobknot-Deadline", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}, err
}

// 40 concurrent calls with one idempotency key at two nodes, and a later one, run
// once at the target, and each caller gets the response of that run.
func TestCallsWithSameKeyRunOnce(t *testing.T) {
	pair, _, runs := startKeyedService(t)
	nodes := []*process{pair.near, pair.far}
	responses := make([]response, 40)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() { responses[i], _ = sendPayout(nodes[i%2], "turn 7", 20*time.Second) })
	}
	group.Wait()
	later, err := sendPayout(pair.far, "turn 7", 20*time.Second)
	require.NoError(t, err)
	for _, resp := range append(responses, later) {
		require.Equal(t, http.StatusCreated, resp.status, resp.body)
		require.Equal(t, "payout 1", resp.body)
		require.Equal(t, "text/x-receipt", resp.header.Get("Content-Type"))
		require.Equal(t, "answered", resp.header.Get("Carobknot-Outcome"))
	}
	require.EqualValues(t, 1, runs.Load())
}

// While the log is unavailable, a call with an idempotency key does not run and its
// outcome says so, and calls without a key run. Afterwards the key is still unused: a
// call with it runs once, although the responses to three appends are lost.
func TestKeyedCallsNeedTheLog(t *testing.T) {
	pair, log, runs := startKeyedService(t)
	setFault(t, log, `{"out": true}`)
	resp, err := sendPayout(pair.near, "turn 8", time.Second)
	require.NoError(t, err)
	require.Equal(t, "unclaimed", resp.header.Get("Carobknot-Kind"))
	require.Equal(t, "not-run", resp.header.Get("Carobknot-Outcome"))
	require.Zero(t, runs.Load())
	resp, err = sendPayout(pair.near, "", time.Second)
	require.NoError(t, err)
	require.Equal(t, "payout 1", resp.body)

	setFault(t, log, `{"lose": 3}`)
	resp, err = sendPayout(pair.near, "turn 8", 20*time.Second)
	require.NoError(t, err)
	require.Equal(t, "payout 2", resp.body, "the key must still be unused")
	require.EqualValues(t, 2, runs.Load())
}
