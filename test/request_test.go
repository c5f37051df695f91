package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchangeRaw sends bytes to the near node and returns the first answer.
func (m mesh) exchangeRaw(t *testing.T, request string) answer {
	t.Helper()
	cn, reader := m.dial(t)
	_, err := io.WriteString(cn, request)
	require.NoError(t, err)
	return readAnswer(t, reader)
}

func readAnswer(t *testing.T, reader *bufio.Reader) answer {
	t.Helper()
	rs, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(data)}
}

// Requests that two readers could understand in two ways are refused, and no
// byte of them reaches a target.
func TestAmbiguousRequests(t *testing.T) {
	m := startMesh(t)
	calls := make(chan string, 100)
	m.serve(t, "lookups", listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path != "/ready" {
			calls <- rq.URL.Path
		}
	}))
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: lookups\r\n\r\n"
	for name, request := range map[string]string{
		"length and chunks":        "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunks and length":        "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":              "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhauls" + smuggled,
		"two equal lengths":        "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhauls" + smuggled,
		"list of lengths":          "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5, 5\r\n\r\nhauls",
		"signed length":            "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: +5\r\n\r\nhauls",
		"hex length":               "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 0x5\r\n\r\nhauls",
		"other coding":             "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"identity coding":          "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: identity\r\n\r\n" + smuggled,
		"two codings":              "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"hidden coding":            "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"folded coding":            "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"bad chunk size":           "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhauls\r\n0\r\n\r\n",
		"negative chunk size":      "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhauls\r\n0\r\n\r\n",
		"huge chunk size":          "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhauls\r\n0\r\n\r\n",
		"chunk longer than said":   "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhauls\r\n0\r\n\r\n",
		"bare line feed":           "GET /a HTTP/1.1\nHost: lookups\n\n\r\n\r\n",
		"bare line feed in header": "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\nX-C: d\r\n\r\n",
		"folded header":            "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\r\n c\r\n\r\n",
		"zero byte in header":      "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\x00c\r\n\r\n",
		"carriage return":          "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\rc\r\n\r\n",
		"escape in header":         "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: \x1b[2J\r\n\r\n",
		"space in name":            "GET /a HTTP/1.1\r\nHost: lookups\r\nX A: b\r\n\r\n",
		"no host":                  "GET /a HTTP/1.1\r\nX-A: b\r\n\r\n",
		"two hosts":                "GET /a HTTP/1.1\r\nHost: lookups\r\nHost: payouts\r\n\r\n",
		"bad host":                 "GET /a HTTP/1.1\r\nHost: look/ups\r\n\r\n",
		"bad port":                 "GET /a HTTP/1.1\r\nHost: lookups:9x\r\n\r\n",
		"user in host":             "GET /a HTTP/1.1\r\nHost: me@lookups\r\n\r\n",
		"other server's path":      "GET http://payouts/a HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"tunnel":                   "CONNECT lookups:80 HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"old protocol":             "GET /a HTTP/1.0\r\nHost: lookups\r\n\r\n",
		"unknown protocol":         "GET /a HTTP/1.2\r\nHost: lookups\r\n\r\n",
		"length as hop by hop":     "POST /a HTTP/1.1\r\nHost: lookups\r\nConnection: content-length\r\nContent-Length: 5\r\n\r\nhauls",
		"host as hop by hop":       "GET /a HTTP/1.1\r\nHost: lookups\r\nConnection: close, host\r\n\r\n",
		"deadline of zero":         "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 0\r\n\r\n",
		"deadline of words":        "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: soon\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cn, reader := m.dial(t)
			_, err := io.WriteString(cn, request)
			require.NoError(t, err)
			an := readAnswer(t, reader)
			require.Equal(t, http.StatusBadRequest, an.status, an.body)
			require.Equal(t, "invalid", an.header.Get("Carobknot-Kind"))
			require.Equal(t, "not-run", an.header.Get("Carobknot-Outcome"))
			_, err = reader.ReadByte()
			require.Error(t, err, "the connection must close, so that nothing hidden is read as a call")
		})
	}
	require.Empty(t, calls)
}

// What belongs to one connection, or to the system, does not pass.
func TestHeaders(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "lookups", listen(t, func(cn net.Conn, reader *bufio.Reader) {
		for {
			rq, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			seen := &strings.Builder{}
			_ = rq.Header.Write(seen)
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: X-Private\r\nX-Private: 1\r\n"+
				"Carobknot-Kind: busy\r\nCarobknot-Outcome: not-run\r\nCarobknot-Report: 1 1 1 1\r\nUpgrade: h2c\r\nX-Public: 1\r\n\r\n%s",
				seen.Len(), seen)
		}
	}))
	for _, node := range []*process{m.near, m.far} {
		an := mesh{near: node}.exchangeRaw(t, "GET /a/../b//c%2Fd?x=1 HTTP/1.1\r\nHost: lookups:8080\r\nConnection: keep-alive, X-Secret\r\nX-Secret: 1\r\n"+
			"Te: gzip\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\nX-Kept: 1\r\nIdempotency-Key: k\r\nCarobknot-Call: far~1~1\r\ncarobknot-kind: x\r\n"+
			"Carobknot-Target: payouts/x\r\nCarobknot-Incarnation: 1\r\nCarobknot-Deadline: 5000\r\n\r\n")
		require.Equal(t, http.StatusOK, an.status)
		require.Equal(t, "answered", an.header.Get("Carobknot-Outcome"))
		require.Empty(t, an.header.Get("Carobknot-Kind"))
		require.Empty(t, an.header.Get("Carobknot-Report"))
		require.Empty(t, an.header.Get("X-Private"))
		require.Empty(t, an.header.Get("Upgrade"))
		require.Equal(t, "1", an.header.Get("X-Public"))
		seen, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n" + an.body + "\r\n")))
		require.NoError(t, err)
		require.Equal(t, "1", seen.Header.Get("X-Kept"))
		require.Equal(t, "k", seen.Header.Get("Idempotency-Key"))
		require.Equal(t, an.header.Get("Carobknot-Call"), seen.Header.Get("Carobknot-Call"))
		require.NotEqual(t, "far~1~1", seen.Header.Get("Carobknot-Call"))
		for _, name := range []string{"X-Secret", "Te", "Upgrade", "Keep-Alive", "Carobknot-Kind", "Carobknot-Target", "Carobknot-Incarnation", "Expect"} {
			require.Empty(t, seen.Header.Get(name), name)
		}
	}
}

// The path reaches the target as the caller wrote it, and so does the answer's
// shape: no body where there is none.
func TestShapes(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "lookups", listenHTTP(t, func(w http.ResponseWriter, rq *http.Request) {
		w.Header().Set("X-Path", rq.RequestURI)
		switch {
		case rq.Method == http.MethodHead:
			w.Header().Set("Content-Length", "12345")
		case rq.URL.Path == "/none":
			w.WriteHeader(http.StatusNoContent)
		case rq.URL.Path == "/same":
			w.Header().Set("Etag", `"7"`)
			w.WriteHeader(http.StatusNotModified)
		case rq.URL.Path == "/early":
			w.Header().Set("Link", "</x>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "haul")
		case rq.URL.Path == "/fault":
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	cn, reader := m.dial(t)
	for _, c := range []struct {
		method, path, body string
		status             int
		length             int64
	}{
		{http.MethodGet, "/a/../b//c%2Fd?x=1", "", http.StatusOK, 0},
		{http.MethodHead, "/head", "", http.StatusOK, 12345},
		{http.MethodGet, "/none", "", http.StatusNoContent, 0},
		{http.MethodGet, "/same", "", http.StatusNotModified, 0},
		{http.MethodGet, "/early", "haul", http.StatusOK, 4},
		{http.MethodGet, "/fault", "", http.StatusInternalServerError, 0},
		{http.MethodOptions, "*", "", http.StatusOK, 0},
	} {
		_, err := fmt.Fprintf(cn, "%s %s HTTP/1.1\r\nHost: lookups\r\n\r\n", c.method, c.path)
		require.NoError(t, err)
		rs, err := http.ReadResponse(reader, &http.Request{Method: c.method})
		require.NoError(t, err, c.path)
		data, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, c.status, rs.StatusCode, c.path)
		require.Equal(t, "answered", rs.Header.Get("Carobknot-Outcome"))
		require.Equal(t, c.body, string(data))
		require.Equal(t, c.length, rs.ContentLength, c.path)
		if c.path != "*" {
			require.Equal(t, c.path, rs.Header.Get("X-Path"))
		}
	}
}

// A caller that asks before it sends is told to go on, and has its answer.
func TestAskingCaller(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "lookups", listenHTTP(t, func(w http.ResponseWriter, rq *http.Request) { _, _ = io.Copy(w, rq.Body) }))
	cn, reader := m.dial(t)
	for _, body := range []string{"haul 17", strings.Repeat("haul", 100_000)} {
		_, err := fmt.Fprintf(cn, "POST /a HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, readAnswer(t, reader).status)
		_, err = io.WriteString(cn, body)
		require.NoError(t, err)
		an := readAnswer(t, reader)
		require.Equal(t, http.StatusOK, an.status)
		require.Equal(t, body, an.body)
	}
}

// Each limit answers with its kind, and calls beside it go on.
func TestLimits(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	settings := `{"name": "small", "region": "bavaria", "centre": "west", "log": "` + log + `",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"limits": {"conns": 4, "calls": 1, "header": "4KiB", "body": "64KiB", "head": "500ms", "stall": "500ms"}}`
	file := filepath.Join(t.TempDir(), "small.json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	node := start(t, "node", "-settings", file)
	m := mesh{near: node, far: node}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	began, end := make(chan struct{}, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(end) })
	defer release()
	m.serve(t, "lookups", listenHTTP(t, func(_ http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/slow" {
			began <- struct{}{}
			<-end
		}
	}))
	http.DefaultClient.CloseIdleConnections()
	long := strings.Repeat("x", 100_000)
	for _, c := range []struct {
		name, request, kind, limit string
		status                     int
	}{
		{"header", "GET / HTTP/1.1\r\nHost: lookups\r\nX-Long: " + long + "\r\n\r\n", "header-too-large", "4.0 KiB", http.StatusRequestHeaderFieldsTooLarge},
		{"body", "POST / HTTP/1.1\r\nHost: lookups\r\nContent-Length: 100000\r\n\r\n" + long, "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"body asked for", "POST / HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n", "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"chunked body", "POST / HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n0\r\n\r\n", "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHost: look", "slow", "500ms", http.StatusRequestTimeout},
		{"slow body", "POST / HTTP/1.1\r\nHost: lookups\r\nContent-Length: 9\r\n\r\nha", "slow", "", http.StatusRequestTimeout},
		{"slow chunk", "POST / HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nha", "slow", "", http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			an := m.exchangeRaw(t, c.request)
			require.Equal(t, c.kind, an.header.Get("Carobknot-Kind"), an.body)
			require.Equal(t, c.status, an.status)
			require.Equal(t, "not-run", an.header.Get("Carobknot-Outcome"))
			require.Contains(t, an.body, c.limit)
		})
	}

	// One call runs, and the next passes the limit of calls.
	slow, slowReader := m.dial(t)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
	require.NoError(t, err)
	await(t, began, "the target was not called")
	an := m.exchangeRaw(t, "GET / HTTP/1.1\r\nHost: lookups\r\nConnection: close\r\n\r\n")
	require.Equal(t, "busy", an.header.Get("Carobknot-Kind"))
	require.Equal(t, http.StatusServiceUnavailable, an.status)

	// Connections that say nothing fill the limit of connections.
	require.Eventually(t, func() bool {
		cn, reader := m.dial(t)
		_ = cn.SetReadDeadline(clock.Wall().Add(50 * time.Millisecond))
		rs, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		defer func() { _ = rs.Body.Close() }()
		data, _ := io.ReadAll(rs.Body)
		return rs.StatusCode == http.StatusServiceUnavailable && rs.Header.Get("Carobknot-Kind") == "busy" &&
			strings.Contains(string(data), "4 connections")
	}, 10*time.Second, time.Millisecond)

	// The call that ran all the while has its answer.
	release()
	require.Equal(t, http.StatusOK, readAnswer(t, slowReader).status)
}

// The call port gives no access to the other ports, and the peer port takes
// nothing but well-formed attempts.
func TestPorts(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "lookups", listenHTTP(t, func(http.ResponseWriter, *http.Request) {}))
	for _, host := range []string{m.far.addresses["admin"], m.far.addresses["peer"], "127.0.0.1", "localhost"} {
		for _, path := range []string{"/health", "/targets/lookups/x", "/metrics", "/carobknot.v1.Peer/Tell"} {
			an := m.exchangeRaw(t, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
			require.GreaterOrEqual(t, an.status, http.StatusBadRequest, "%s at %s", path, host)
			require.NotEqual(t, "answered", an.header.Get("Carobknot-Outcome"))
		}
	}
	peer := mesh{near: &process{addresses: map[string]string{"call": m.far.addresses["peer"]}}}
	attempt := "Carobknot-Call: near~1~1\r\nCarobknot-Attempt: 1\r\nCarobknot-Target: lookups/stand\r\nCarobknot-Patience: 1000000000\r\n"
	for name, head := range map[string]string{
		"plain call":       "GET /a HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"no incarnation":   "GET /a HTTP/1.1\r\nHost: lookups\r\n" + attempt + "\r\n",
		"half a request":   "GET /a HTTP/1.1\r\nHost lookups\r\n\r\n",
		"bad call id":      "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Call: x\r\n\r\n",
		"other life":       "GET /a HTTP/1.1\r\nHost: lookups\r\n" + attempt + "Carobknot-Incarnation: 7\r\n\r\n",
		"asks and is none": "POST /a HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			an := peer.exchangeRaw(t, head)
			require.Contains(t, []string{"invalid", "stale"}, an.header.Get("Carobknot-Kind"))
			require.GreaterOrEqual(t, an.status, http.StatusBadRequest)
		})
	}
}

// The trace context passes from hop to hop, with a span of each hop's own, and
// begins at the entry when the caller has none.
func TestTraceContext(t *testing.T) {
	m := startMesh(t)
	m.serve(t, "lookups", listenHTTP(t, func(w http.ResponseWriter, rq *http.Request) {
		_, _ = io.WriteString(w, rq.Header.Get("Traceparent")+" "+rq.Header.Get("Tracestate"))
	}))
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	for name, c := range map[string]struct{ header, want string }{
		"handed on": {"Traceparent: " + parent + "\r\nTracestate: a=1\r\n", `^00-4bf92f3577b34da6a3ce929d0e0e4736-[0-9a-f]{16}-01 a=1$`},
		"made":      {"", `^00-[0-9a-f]{32}-[0-9a-f]{16}-01 $`},
		"malformed": {"Traceparent: 00-x\r\n", `^00-[0-9a-f]{32}-[0-9a-f]{16}-01 $`},
	} {
		t.Run(name, func(t *testing.T) {
			an := m.exchangeRaw(t, "GET /a HTTP/1.1\r\nHost: lookups\r\n"+c.header+"\r\n")
			require.Regexp(t, c.want, an.body)
			require.NotContains(t, an.body, "00f067aa0ba902b7")
		})
	}
}
