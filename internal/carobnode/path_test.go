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

	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/internal/carobstandlog"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
)

// BenchmarkPath measures one call after the other: straight to a target, through
// the target's own node, and through two nodes.
func BenchmarkPath(b *testing.B) {
	cx, cancel := context.WithCancel(b.Context())
	defer cancel()
	timer := carobtimer.NewTimer()
	go timer.Run(cx)
	log := listen(b, carobstandlog.NewLog(carobstandlog.Config{Timer: timer}).Serve)
	near, far := runNode(b, "near", log), runNode(b, "far", log)
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.SetBodyString(strings.Repeat("x", 512)) }}
	target := listen(b, server.Serve)
	publish(b, log)
	go func() {
		for announce(far, target); timer.Wait(cx, time.Second) == nil; {
			announce(far, target)
		}
	}()
	for _, run := range []struct {
		name    string
		address carobaddress.Address
	}{{"direct", carobaddress.Address(target)}, {"one-node", far.Call()}, {"two-nodes", near.Call()}} {
		b.Run(run.name, func(b *testing.B) { measure(b, timer, string(run.address)) })
	}
}

// measure makes calls one after the other and reports their quantiles.
func measure(b *testing.B, timer *carobtimer.Timer, address string) {
	b.Helper()
	cn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer func() { _ = cn.Close() }()
	reader := bufio.NewReader(cn)
	for ask(cn, reader) != nil {
		require.NoError(b, timer.Wait(b.Context(), 10*time.Millisecond))
	}
	var took []time.Duration
	for b.Loop() {
		start := timer.Now()
		require.NoError(b, ask(cn, reader))
		took = append(took, timer.Now().Sub(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns")
}

func ask(cn net.Conn, reader *bufio.Reader) error {
	if _, err := io.WriteString(cn, "GET /a HTTP/1.1\r\nHost: lookups\r\n\r\n"); err != nil {
		return err
	}
	rs, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", rs.StatusCode)
	}
	return nil
}

func listen(b *testing.B, serve func(ls net.Listener) error) string {
	b.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = ls.Close() })
	go func() { _ = serve(ls) }()
	return ls.Addr().String()
}

func runNode(b *testing.B, name, log string) *Node {
	b.Helper()
	st, err := carobsettings.Parse("node.json", fmt.Appendf(nil, `{"name": %q, "region": "bavaria", "centre": "west",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "log": "http://%s"}`, name, log))
	require.NoError(b, err)
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	nd, err := NewNode(b.Context(), Config{Settings: st, Logger: lg})
	require.NoError(b, err)
	cx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = nd.Run(cx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return nd
}

func publish(b *testing.B, log string) {
	b.Helper()
	send(b, http.MethodPost, "http://"+log+"/streams/profiles",
		`{"profile": {"name": "lookups", "once": "no"}, "who": "bench"}`)
}

func announce(nd *Node, target string) {
	body := fmt.Sprintf(`{"address": %q, "profile": "lookups", "slots": 12, "conns": 100, "state": "ready"}`, target)
	rq, err := http.NewRequest(http.MethodPut, "http://"+string(nd.Admin())+"/targets/lookups/a", strings.NewReader(body))
	if err != nil {
		return
	}
	if rs, err := http.DefaultClient.Do(rq); err == nil {
		_ = rs.Body.Close()
	}
}

func send(b *testing.B, method, url, body string) {
	b.Helper()
	rq, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(b, err)
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(b, err)
	require.NoError(b, rs.Body.Close())
}
