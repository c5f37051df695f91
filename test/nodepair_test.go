package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobtimer"
)

// announce announces a target to a node every 500 ms, until the end of the test.
// target is service/name.
func announce(t *testing.T, node *process, target, address string, slots int) {
	t.Helper()
	const heartbeat = 500 * time.Millisecond
	data, err := json.Marshal(map[string]any{
		"address": address, "profile": "lookups", "slots": slots, "conns": 100, "state": "ready",
	})
	require.NoError(t, err)
	put := func() {
		req, err := http.NewRequest(http.MethodPut, "http://"+node.addresses["admin"]+"/targets/"+target, bytes.NewReader(data))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	put()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for clock.Wait(ctx, heartbeat) == nil {
			put()
		}
	}()
}

// clock is the timer service of the tests.
var clock = func() *carobtimer.Timer {
	timer := carobtimer.NewTimer()
	go timer.Run(context.Background())
	return timer
}()

// startRawTarget listens for the connections of a target, calls serve for each one
// and closes it afterwards. It returns the address.
func startRawTarget(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// startHTTPTarget starts an HTTP server for a target and returns its address.
func startHTTPTarget(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// nodePair is two nodes of one log. Tests announce their targets to the far node and
// send calls to the near one, which forwards them to the far one.
type nodePair struct {
	near, far *process
	log       string
}

// startNodePair starts the nodes and publishes the lookups profile.
func startNodePair(t *testing.T) nodePair {
	t.Helper()
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	np := nodePair{near: startNode(t, "near", log), far: startNode(t, "far", log), log: log}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	return np
}

// announceTarget announces a target of a service to the far node and waits until the
// near node has received it by gossip.
func (np nodePair) announceTarget(t *testing.T, service, address string) {
	t.Helper()
	announce(t, np.far, service+"/stand", address, 8)
	np.waitForService(t, service)
}

// waitForService waits until the near node no longer refuses calls of a service because
// it has no target or no profile of it. The calls that it sends have the path /ready.
func (np nodePair) waitForService(t *testing.T, service string) {
	t.Helper()
	require.Eventually(t, func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+np.near.addresses["call"]+"/ready", http.NoBody)
		if err != nil {
			return false
		}
		req.Host = service
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		kind := resp.Header.Get("Carobknot-Kind")
		return kind != "no-target" && kind != "not-ready"
	}, 10*time.Second, 10*time.Millisecond)
}

// waitForTargets waits until the near node's status lists all of the targets.
func (np nodePair) waitForTargets(t *testing.T, targets ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, code := run("status", "-admin", np.near.addresses["admin"], "-json")
		for _, target := range targets {
			if code != 0 || !strings.Contains(status, `"`+target+`"`) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// dial opens a connection to the call port of the near node, with a deadline of 20 s.
func (np nodePair) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	const timeout = 20 * time.Second
	conn, err := net.Dial("tcp", np.near.addresses["call"])
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(clock.WallTime().Add(timeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// peakMemory returns the peak resident set size of a process, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	const kib = 1024
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			require.NoError(t, err)
			return n * kib
		}
	}
	require.Fail(t, "no VmHWM in the status of the process")
	return 0
}
