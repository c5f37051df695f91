package carobnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobfakelog"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
)

// BenchmarkPath measures the latency of sequential calls: directly to a target, through
// the target's own node, and through two nodes.
func BenchmarkPath(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	timer := carobtimer.NewTimer()
	go timer.Run(ctx)
	log := listen(b, carobfakelog.NewFakeLog(carobfakelog.Config{Timer: timer}).Serve)
	entryNode, targetNode := runNode(b, "near", log), runNode(b, "far", log)
	server := &fasthttp.Server{Handler: func(reqCtx *fasthttp.RequestCtx) { reqCtx.SetBodyString(strings.Repeat("x", 512)) }}
	target := listen(b, server.Serve)
	publish(b, log)
	go func() {
		for announce(targetNode, target); timer.Wait(ctx, time.Second) == nil; {
			announce(targetNode, target)
		}
	}()
	for _, run := range []struct {
		name    string
		address carobaddress.Address
	}{{"direct", carobaddress.Address(target)}, {"one-node", targetNode.CallAddress()}, {"two-nodes", entryNode.CallAddress()}} {
		b.Run(run.name, func(b *testing.B) { measure(b, timer, string(run.address)) })
	}
}

// measure makes sequential calls and reports quantiles of their latency.
func measure(b *testing.B, timer *carobtimer.Timer, address string) {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for call(conn, reader) != nil {
		require.NoError(b, timer.Wait(b.Context(), 10*time.Millisecond))
	}
	var latencies []time.Duration
	for b.Loop() {
		start := timer.Now()
		require.NoError(b, call(conn, reader))
		latencies = append(latencies, timer.Now().Sub(start))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds()), "p99-ns")
}

// call makes one call over an open connection.
func call(conn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: lookups\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// listen starts a server on a free port and returns its address.
func listen(b *testing.B, serve func(listener net.Listener) error) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() { _ = serve(listener) }()
	return listener.Addr().String()
}

// runNode runs a node until the benchmark ends.
func runNode(b *testing.B, name, log string) *Node {
	b.Helper()
	settings, err := carobsettings.Parse("node.json", fmt.Appendf(nil, `{"name": %q, "region": "bavaria", "centre": "west",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "log": "http://%s"}`, name, log))
	require.NoError(b, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	node, err := NewNode(b.Context(), Config{Settings: settings, Logger: logger})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return node
}

// publish publishes the profile of the service.
func publish(b *testing.B, log string) {
	b.Helper()
	send(b, http.MethodPost, "http://"+log+"/streams/profiles",
		`{"profile": {"name": "lookups", "once": "no"}, "who": "bench"}`)
}

// announce announces a target at the admin address of a node. Errors are ignored, since
// the caller repeats the announcement.
func announce(node *Node, target string) {
	body := fmt.Sprintf(`{"address": %q, "profile": "lookups", "slots": 12, "conns": 100, "state": "ready"}`, target)
	req, err := http.NewRequest(http.MethodPut, "http://"+string(node.AdminAddress())+"/targets/lookups/a", strings.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// send sends a request with a JSON body and ignores the response.
func send(b *testing.B, method, url, body string) {
	b.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(b, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
}
