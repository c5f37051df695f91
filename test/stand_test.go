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

// announce tells a node again and again, until the test ends, that a target of a
// service listens at an address.
func announce(t *testing.T, node *process, target, address string, slots int) {
	t.Helper()
	const heartbeat = 500 * time.Millisecond
	data, err := json.Marshal(map[string]any{
		"address": address, "profile": "lookups", "slots": slots, "conns": 100, "state": "ready",
	})
	require.NoError(t, err)
	tell := func() {
		rq, err := http.NewRequest(http.MethodPut, "http://"+node.addresses["admin"]+"/targets/"+target, bytes.NewReader(data))
		if err != nil {
			return
		}
		if rs, err := http.DefaultClient.Do(rq); err == nil {
			_ = rs.Body.Close()
		}
	}
	tell()
	cx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for clock.Wait(cx, heartbeat) == nil {
			tell()
		}
	}()
}

// clock is the tests' own timer service.
var clock = func() *carobtimer.Timer {
	timer := carobtimer.NewTimer()
	go timer.Run(context.Background())
	return timer
}()

// listen serves a target's raw connections.
func listen(t *testing.T, serve func(cn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ls.Close() })
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = cn.Close() }()
				serve(cn, bufio.NewReader(cn))
			}()
		}
	}()
	return ls.Addr().String()
}

// listenHTTP serves a target with a handler.
func listenHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	sv := httptest.NewServer(handler)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

// mesh is two nodes with a log and a profile. The targets of tests announce
// themselves to the far node, and callers ask the near one.
type mesh struct {
	near, far *process
	log       string
}

func startMesh(t *testing.T) mesh {
	t.Helper()
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	m := mesh{near: startNode(t, "near", log), far: startNode(t, "far", log), log: log}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	return m
}

// serve announces a target at the far node and waits until the near one knows
// it, which it shows by another answer than that there is no target.
func (m mesh) serve(t *testing.T, service, address string) {
	t.Helper()
	announce(t, m.far, service+"/stand", address, 8)
	m.known(t, service)
}

// known waits until the near node knows a service.
func (m mesh) known(t *testing.T, service string) {
	t.Helper()
	require.Eventually(t, func() bool {
		rq, err := http.NewRequest(http.MethodGet, "http://"+m.near.addresses["call"]+"/ready", http.NoBody)
		if err != nil {
			return false
		}
		rq.Host = service
		rs, err := http.DefaultClient.Do(rq)
		if err != nil {
			return false
		}
		defer func() { _ = rs.Body.Close() }()
		kind := rs.Header.Get("Carobknot-Kind")
		return kind != "no-target" && kind != "not-ready"
	}, 10*time.Second, 10*time.Millisecond)
}

// lists waits until the near node knows all of some targets.
func (m mesh) lists(t *testing.T, targets ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		view, code := run("status", "-admin", m.near.addresses["admin"], "-json")
		for _, target := range targets {
			if code != 0 || !strings.Contains(view, `"`+target+`"`) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
}

// dial opens a raw connection for a call to the near node.
func (m mesh) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	const patience = 20 * time.Second
	cn, err := net.Dial("tcp", m.near.addresses["call"])
	require.NoError(t, err)
	require.NoError(t, cn.SetDeadline(clock.Wall().Add(patience)))
	t.Cleanup(func() { _ = cn.Close() })
	return cn, bufio.NewReader(cn)
}

// peak returns the most resident memory of a process so far, in bytes.
func (p *process) peak(t *testing.T) int {
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
	require.Fail(t, "no resident memory in the status")
	return 0
}
