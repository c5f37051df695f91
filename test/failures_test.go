package test

import (
	"bytes"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each failure occurs while callers send one call after another. The outcomes that
// callers get must match the runs that the targets recorded, and calls must be
// answered again after the failure.
func TestFailures(t *testing.T) {
	// batch is the number of calls that each step waits for.
	const batch = 200
	for _, tc := range []struct {
		name string
		fail func(t *testing.T, cluster *cluster, traffic *traffic)
	}{
		{"none", func(*testing.T, *cluster, *traffic) {}},
		{"node killed and replaced", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.kill(t, 1)
			traffic.waitForCalls(t, batch, anyResult)
			cluster.startNode(t, 1)
		}},
		{"node suspended past every timeout", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.nodes[1].signal(t, syscall.SIGSTOP)
			traffic.waitForCalls(t, 4, hasNoResponse)
			cluster.nodes[1].signal(t, syscall.SIGCONT)
		}},
		{"connections closed", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			for range 5 {
				cluster.proxies[1].closeConns()
				traffic.waitForCalls(t, batch, anyResult)
			}
		}},
		{"connections drop bytes", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			for range 2 {
				cluster.proxies[0].dropBytes()
				cluster.proxies[1].dropBytes()
				traffic.waitForCalls(t, batch, anyResult)
			}
		}},
		{"connections drop responses", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.proxies[1].dropResponses()
			traffic.waitForCalls(t, batch, anyResult)
		}},
		{"log unavailable", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			setFault(t, cluster.log, `{"out": true}`)
			traffic.waitForCalls(t, batch, isAnswered)
			cluster.kill(t, 2)
			traffic.waitForCalls(t, batch, anyResult)
			setFault(t, cluster.log, `{}`)
			cluster.startNode(t, 2)
		}},
		{"log slow", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			setFault(t, cluster.log, `{"slow": "1s"}`)
			traffic.waitForCalls(t, batch, isAnswered)
			setFault(t, cluster.log, `{}`)
		}},
		{"target drains unannounced", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.targets[1].setBehaviour(t, `{"drain": true}`)
			traffic.waitForCalls(t, batch, anyResult)
			cluster.targets[1].setBehaviour(t, `{"drain": false}`)
		}},
		{"target fails fast", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.targets[0].setBehaviour(t, `{"fail": true}`)
			traffic.waitForCalls(t, 3*batch, anyResult)
			cluster.targets[0].setBehaviour(t, `{"fail": false}`)
		}},
		{"target straggles", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.targets[1].setBehaviour(t, `{"straggle": 2000}`)
			traffic.waitForCalls(t, batch, anyResult)
			cluster.targets[1].setBehaviour(t, `{"straggle": 1}`)
		}},
		{"target frozen", func(t *testing.T, cluster *cluster, traffic *traffic) {
			t.Helper()
			cluster.targets[0].signal(t, syscall.SIGSTOP)
			traffic.waitForCalls(t, batch, anyResult)
			cluster.targets[0].signal(t, syscall.SIGCONT)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cluster := startCluster(t, 3)
			traffic := cluster.startTraffic(t, perCallTransport)
			traffic.waitForCalls(t, batch, isAnswered)
			tc.fail(t, cluster, traffic)
			for range 3 {
				traffic.waitForCalls(t, batch, isAnswered)
			}
			counts := traffic.finish(t)
			if tc.name == "none" {
				require.Equal(t, counts.Calls, counts.Answered)
			}
		})
	}
}

// All nodes are restarted one by one under load, each while a target receives an open upload from it.
// A node that shuts down must finish its calls: no caller may lose a response, get
// an unknown outcome, or see its upload cut.
func TestRollingRestart(t *testing.T) {
	cluster := startCluster(t, 3)
	traffic := cluster.startTraffic(t, expectContinueTransport)
	uploadClient := &http.Client{Transport: expectContinueTransport}
	traffic.waitForCalls(t, 200, isAnswered)
	for index, node := range cluster.nodes {
		body, bodyWriter := io.Pipe()
		uploads := cluster.uploads(t)
		uploaded := make(chan callResult, 1)
		const half = 1 << 18
		want := bytes.Repeat([]byte("deck"), half/2)
		go func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+node.addresses["call"]+"/deck", body)
			if err != nil {
				panic(err)
			}
			req.Host = "rota"
			req.Header.Set("Carobknot-Deadline", "60000")
			req.Header.Set("Expect", "100-continue") // the client waits for the node to accept the call
			resp, err := uploadClient.Do(req)        //nolint:bodyclose // readResult closes it
			uploaded <- readResult(resp, err, "rota", string(want))
		}()
		if _, err := bodyWriter.Write(want[:half]); err != nil {
			require.NoError(t, err, "%+v", awaitEvent(t, uploaded, "the upload got no response"))
		}
		// The node asks for the body before it has decided on the call.
		require.Eventually(t, func() bool { return cluster.uploads(t) > uploads }, time.Minute, time.Millisecond, "no target receives the upload")
		node.signal(t, syscall.SIGTERM)
		traffic.waitForCalls(t, 200, isAnswered)
		if _, err := bodyWriter.Write(want[half:]); err != nil {
			require.NoError(t, err, "%+v", awaitEvent(t, uploaded, "the upload got no response"))
		}
		require.NoError(t, bodyWriter.Close())
		result := awaitEvent(t, uploaded, "the upload got no response")
		require.True(t, isAnswered(result) && !result.wrongBody, "%+v", result)
		require.NoError(t, node.command.Wait())
		cluster.startNode(t, index)
		traffic.waitForCalls(t, 200, isAnswered)
	}
	counts := traffic.finish(t)
	require.Zero(t, counts.Unknown+counts.NoResponse, "calls without a known outcome")
}

// Targets announce one by one, under load, that they leave, and return later. No
// caller may lose a response or get an unknown outcome.
func TestTargetsLeave(t *testing.T) {
	cluster := startCluster(t, 3)
	traffic := cluster.startTraffic(t, perCallTransport)
	for _, target := range cluster.targets {
		traffic.waitForCalls(t, 100, isAnswered)
		target.setBehaviour(t, `{"leave": true}`)
		traffic.waitForCalls(t, 100, isAnswered)
		target.setBehaviour(t, `{"leave": false}`)
	}
	counts := traffic.finish(t)
	require.Zero(t, counts.Unknown+counts.NoResponse, "calls without a known outcome")
}
