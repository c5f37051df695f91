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

// exchangeRaw sends a request to the near node, byte by byte as given, and returns the
// first response.
func (np nodePair) exchangeRaw(t *testing.T, request string) response {
	t.Helper()
	conn, reader := np.dial(t)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	return readResponse(t, reader)
}

// readResponse reads one response of a call, with its body.
func readResponse(t *testing.T, reader *bufio.Reader) response {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

// Requests that a node and a target could parse in different ways, which allows request
// smuggling, are refused. No byte of them reaches a target, and the connection closes.
func TestAmbiguousRequests(t *testing.T) {
	pair := startNodePair(t)
	calls := make(chan string, 100)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/ready" {
			calls <- req.URL.Path
		}
	}))
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: lookups\r\n\r\n"
	for name, request := range map[string]string{
		"length and chunks":          "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunks and length":          "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":                "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhauls" + smuggled,
		"two equal lengths":          "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhauls" + smuggled,
		"list of lengths":            "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 5, 5\r\n\r\nhauls",
		"signed length":              "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: +5\r\n\r\nhauls",
		"hex length":                 "POST /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 0x5\r\n\r\nhauls",
		"other coding":               "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"identity coding":            "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: identity\r\n\r\n" + smuggled,
		"two codings":                "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"hidden coding":              "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"folded coding":              "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"bad chunk size":             "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhauls\r\n0\r\n\r\n",
		"negative chunk size":        "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhauls\r\n0\r\n\r\n",
		"huge chunk size":            "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhauls\r\n0\r\n\r\n",
		"chunk longer than its size": "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhauls\r\n0\r\n\r\n",
		"bare line feed":             "GET /a HTTP/1.1\nHost: lookups\n\n\r\n\r\n",
		"bare line feed in header":   "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\nX-C: d\r\n\r\n",
		"folded header":              "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\r\n c\r\n\r\n",
		"zero byte in header":        "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\x00c\r\n\r\n",
		"carriage return":            "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: b\rc\r\n\r\n",
		"escape in header":           "GET /a HTTP/1.1\r\nHost: lookups\r\nX-A: \x1b[2J\r\n\r\n",
		"space in name":              "GET /a HTTP/1.1\r\nHost: lookups\r\nX A: b\r\n\r\n",
		"no host":                    "GET /a HTTP/1.1\r\nX-A: b\r\n\r\n",
		"two hosts":                  "GET /a HTTP/1.1\r\nHost: lookups\r\nHost: payouts\r\n\r\n",
		"bad host":                   "GET /a HTTP/1.1\r\nHost: look/ups\r\n\r\n",
		"bad port":                   "GET /a HTTP/1.1\r\nHost: lookups:9x\r\n\r\n",
		"user in host":               "GET /a HTTP/1.1\r\nHost: me@lookups\r\n\r\n",
		"other server's path":        "GET http://payouts/a HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"tunnel":                     "CONNECT lookups:80 HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"old protocol":               "GET /a HTTP/1.0\r\nHost: lookups\r\n\r\n",
		"unknown protocol":           "GET /a HTTP/1.2\r\nHost: lookups\r\n\r\n",
		"length as hop by hop":       "POST /a HTTP/1.1\r\nHost: lookups\r\nConnection: content-length\r\nContent-Length: 5\r\n\r\nhauls",
		"host as hop by hop":         "GET /a HTTP/1.1\r\nHost: lookups\r\nConnection: close, host\r\n\r\n",
		"deadline of zero":           "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 0\r\n\r\n",
		"deadline of words":          "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: soon\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, reader := pair.dial(t)
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			resp := readResponse(t, reader)
			require.Equal(t, http.StatusBadRequest, resp.status, resp.body)
			require.Equal(t, "invalid", resp.header.Get("Carobknot-Kind"))
			require.Equal(t, "not-run", resp.header.Get("Carobknot-Outcome"))
			_, err = reader.ReadByte()
			require.Error(t, err, "the connection must close, or the rest of the request is parsed as the next call")
		})
	}
	require.Empty(t, calls)
}

// Hop-by-hop headers, and headers with carobknot's prefix that a caller or target sets,
// are not forwarded. With the latter a caller could forge call IDs, and a target
// outcomes and reports.
func TestHeadersThatAreNotForwarded(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startRawTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			seen := &strings.Builder{}
			_ = req.Header.Write(seen)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: X-Private\r\nX-Private: 1\r\n"+
				"Carobknot-Kind: busy\r\nCarobknot-Outcome: not-run\r\nCarobknot-Report: 1 1 1 1\r\nUpgrade: h2c\r\nX-Public: 1\r\n\r\n%s",
				seen.Len(), seen)
		}
	}))
	for _, node := range []*process{pair.near, pair.far} {
		resp := nodePair{near: node}.exchangeRaw(t, "GET /a/../b//c%2Fd?x=1 HTTP/1.1\r\nHost: lookups:8080\r\nConnection: keep-alive, X-Secret\r\nX-Secret: 1\r\n"+
			"Te: gzip\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\nX-Kept: 1\r\nIdempotency-Key: k\r\nCarobknot-Call: far~1~1\r\ncarobknot-kind: x\r\n"+
			"Carobknot-Target: payouts/x\r\nCarobknot-Incarnation: 1\r\nCarobknot-Deadline: 5000\r\n\r\n")
		require.Equal(t, http.StatusOK, resp.status)
		require.Equal(t, "answered", resp.header.Get("Carobknot-Outcome"))
		require.Empty(t, resp.header.Get("Carobknot-Kind"))
		require.Empty(t, resp.header.Get("Carobknot-Report"))
		require.Empty(t, resp.header.Get("X-Private"))
		require.Empty(t, resp.header.Get("Upgrade"))
		require.Equal(t, "1", resp.header.Get("X-Public"))
		seen, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\n" + resp.body + "\r\n")))
		require.NoError(t, err)
		require.Equal(t, "1", seen.Header.Get("X-Kept"))
		require.Equal(t, "k", seen.Header.Get("Idempotency-Key"))
		require.Equal(t, resp.header.Get("Carobknot-Call"), seen.Header.Get("Carobknot-Call"))
		require.NotEqual(t, "far~1~1", seen.Header.Get("Carobknot-Call"))
		for _, name := range []string{"X-Secret", "Te", "Upgrade", "Keep-Alive", "Carobknot-Kind", "Carobknot-Target", "Carobknot-Incarnation", "Expect"} {
			require.Empty(t, seen.Header.Get(name), name)
		}
	}
}

// The headers that a node sets for a target reach it once, with the node's value, whatever copies, spellings
// and lists of names the caller sends, in the header or behind the body. With two values a target may read the
// caller's, and with two idempotency keys another one than that under which the call runs once.
func TestForgedFieldsDoNotReachTheTarget(t *testing.T) {
	pair := startNodePair(t)
	received := make(chan *http.Request, 1)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/forged" {
			received <- req
		}
	}))
	const trace = "Traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n"
	long := strings.Repeat("x", 200_000)
	for name, c := range map[string]struct{ head, body, trailers string }{
		"nothing":                    {"", "ab", ""},
		"copies":                     {"Carobknot-Deadline: 5000\r\nCarobknot-Deadline: 9000\r\nCarobknot-Call: forged\r\nCarobknot-Call: forged\r\n" + trace + trace + trace, "ab", ""},
		"spellings":                  {"Carobknot_Deadline: 9000\r\ncarobknot_call: forged\r\nCAROBKNOT.CALL: forged\r\ntraceparent: a\r\n" + trace, "ab", ""},
		"announced":                  {"Trailer: Traceparent, Carobknot-Call, Carobknot-Deadline, Idempotency-Key, X-Kept\r\n" + trace + trace, "ab", ""},
		"another key":                {"Idempotency-Key: forged\r\nIdempotency_Key: forged\r\n", "ab", ""},
		"behind the body":            {trace, "ab", "Carobknot-Deadline: 9000\r\nCarobknot-Call: forged\r\nCarobknot-Limit: 1\r\nCarobknot-Offer: forged\r\n" + trace + "Idempotency-Key: forged\r\nX-Kept: forged\r\n"},
		"behind a long body":         {trace, long, "Carobknot-Deadline: 9000\r\nCarobknot-Call: forged\r\n" + trace + "Idempotency-Key: forged\r\nX-Kept: forged\r\n"},
		"behind the body, announced": {"Trailer: Traceparent, X-Kept\r\n", "ab", trace + "X-Kept: forged\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, node := range []*process{pair.near, pair.far} {
				framing, body := fmt.Sprintf("Content-Length: %d\r\n", len(c.body)), c.body
				if c.trailers != "" {
					framing, body = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(c.body), c.body, c.trailers)
				}
				// Te is removed, which must not change the order of the fields behind it.
				resp := nodePair{near: node}.exchangeRaw(t, "POST /forged HTTP/1.1\r\nHost: lookups\r\nTe: x\r\nIdempotency-Key: own\r\nX-Kept: 1\r\nX-Kept: 2\r\n"+
					c.head+framing+"\r\n"+body)
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				req := <-received
				header := req.Header
				require.Empty(t, req.Trailer)
				require.Equal(t, []string{resp.header.Get("Carobknot-Call")}, header.Values("Carobknot-Call"))
				require.Equal(t, []string{"own"}, header.Values("Idempotency-Key"))
				require.Len(t, header.Values("Carobknot-Deadline"), 1)
				require.NotEqual(t, "9000", header.Get("Carobknot-Deadline"))
				require.Len(t, header.Values("Traceparent"), 1)
				require.Equal(t, []string{"1", "2"}, header.Values("X-Kept"))
				seen := strings.ToLower(fmt.Sprint(header))
				for _, forged := range []string{"forged", "00f067aa0ba902b7", "carobknot_", "carobknot.", "idempotency_"} {
					require.NotContains(t, seen, forged)
				}
			}
		})
	}
}

// A caller cannot set the fields that nodes send each other: with a rate limit behind the body of one call, the
// target's node held back the calls of all callers.
func TestCallersDoNotLimitTargets(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
	}))
	for range 3 {
		resp := pair.exchangeRaw(t, "POST /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nab\r\n0\r\nCarobknot-Limit: 0\r\n\r\n")
		require.Equal(t, http.StatusOK, resp.status, resp.body)
	}
}

// The headers that a node sets for a caller reach it once, with the node's value, whatever copies, spellings and
// lists of names the target sends, in the header or behind the body.
func TestForgedFieldsDoNotReachTheCaller(t *testing.T) {
	pair := startNodePair(t)
	heads := make(chan string, 1)
	pair.announceTarget(t, "lookups", startRawTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			if req.URL.Path == "/forged" {
				head = <-heads
			}
			_, _ = io.WriteString(conn, head)
		}
	}))
	const fixed, chunks = "Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0"
	for name, rest := range map[string]string{
		"copies":          "Carobknot-Outcome: forged\r\nCarobknot-Outcome: forged\r\nCarobknot-Call: forged\r\nCarobknot-Call: forged\r\n" + fixed,
		"spellings":       "carobknot-outcome: forged\r\nCarobknot_Outcome: forged\r\nCarobknot.Call: forged\r\ncarobknot_kind: forged\r\n" + fixed,
		"in Connection":   "Connection: Carobknot-Outcome, carobknot_call\r\nCarobknot-Outcome: forged\r\n" + fixed,
		"announced":       "Trailer: Carobknot-Outcome, Carobknot-Call, Carobknot-Report\r\nCarobknot-Outcome: forged\r\n" + fixed,
		"behind the body": "Trailer: Carobknot-Outcome\r\n" + chunks + "\r\nCarobknot-Outcome: forged\r\nCarobknot-Kind: forged\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, node := range []*process{pair.near, pair.far} {
				heads <- "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nX-Kept: 2\r\n" + rest
				resp := nodePair{near: node}.exchangeRaw(t, "GET /forged HTTP/1.1\r\nHost: lookups\r\n\r\n")
				require.Equal(t, http.StatusOK, resp.status, resp.body)
				require.Equal(t, "ab", resp.body)
				require.Equal(t, []string{"answered"}, resp.header.Values("Carobknot-Outcome"))
				require.Len(t, resp.header.Values("Carobknot-Call"), 1)
				require.Equal(t, []string{"1", "2"}, resp.header.Values("X-Kept"))
				require.NotContains(t, fmt.Sprint(resp.header), "forged")
			}
		})
	}
}

// The path reaches the target as the caller wrote it, without normalisation. Responses
// keep their framing on a connection that is used again: a HEAD, 204 or 304 response
// has no body, whatever its Content-Length.
func TestPathAndResponseFraming(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("X-Path", req.RequestURI)
		switch {
		case req.Method == http.MethodHead:
			w.Header().Set("Content-Length", "12345")
		case req.URL.Path == "/none":
			w.WriteHeader(http.StatusNoContent)
		case req.URL.Path == "/same":
			w.Header().Set("Etag", `"7"`)
			w.WriteHeader(http.StatusNotModified)
		case req.URL.Path == "/early":
			w.Header().Set("Link", "</x>")
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "haul")
		case req.URL.Path == "/fault":
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	conn, reader := pair.dial(t)
	for _, tc := range []struct {
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
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: lookups\r\n\r\n", tc.method, tc.path)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, &http.Request{Method: tc.method})
		require.NoError(t, err, tc.path)
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, tc.status, resp.StatusCode, tc.path)
		require.Equal(t, "answered", resp.Header.Get("Carobknot-Outcome"))
		require.Equal(t, tc.body, string(data))
		require.Equal(t, tc.length, resp.ContentLength, tc.path)
		if tc.path != "*" {
			require.Equal(t, tc.path, resp.Header.Get("X-Path"))
		}
	}
}

// A caller that sends Expect: 100-continue gets 100 Continue before it sends the body,
// and then the response.
func TestExpectContinue(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(w http.ResponseWriter, req *http.Request) { _, _ = io.Copy(w, req.Body) }))
	conn, reader := pair.dial(t)
	for _, body := range []string{"haul 17", strings.Repeat("haul", 100_000)} {
		_, err := fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusContinue, readResponse(t, reader).status)
		_, err = io.WriteString(conn, body)
		require.NoError(t, err)
		resp := readResponse(t, reader)
		require.Equal(t, http.StatusOK, resp.status)
		require.Equal(t, body, resp.body)
	}
}

// A request that exceeds a limit is refused with the kind of that limit, and a call
// that runs meanwhile gets its response.
func TestLimits(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	settings := `{"name": "small", "region": "bavaria", "centre": "west", "log": "` + log + `",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"limits": {"conns": 4, "calls": 1, "header": "4KiB", "body": "64KiB", "head": "500ms", "stall": "500ms"}}`
	file := filepath.Join(t.TempDir(), "small.json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	node := start(t, "node", "-settings", file)
	pair := nodePair{near: node, far: node}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	started, released := make(chan struct{}, 10), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			started <- struct{}{}
			<-released
		}
	}))
	http.DefaultClient.CloseIdleConnections()
	long := strings.Repeat("x", 100_000)
	for _, tc := range []struct {
		name, request, kind, limit string
		status                     int
	}{
		{"header", "GET / HTTP/1.1\r\nHost: lookups\r\nX-Long: " + long + "\r\n\r\n", "header-too-large", "4.0 KiB", http.StatusRequestHeaderFieldsTooLarge},
		{"body", "POST / HTTP/1.1\r\nHost: lookups\r\nContent-Length: 100000\r\n\r\n" + long, "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"body after Expect", "POST / HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n", "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"chunked body", "POST / HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n0\r\n\r\n", "too-large", "64 KiB", http.StatusRequestEntityTooLarge},
		{"slow header", "GET / HTTP/1.1\r\nHost: look", "slow", "500ms", http.StatusRequestTimeout},
		{"slow body", "POST / HTTP/1.1\r\nHost: lookups\r\nContent-Length: 9\r\n\r\nha", "slow", "", http.StatusRequestTimeout},
		{"slow chunk", "POST / HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nha", "slow", "", http.StatusRequestTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := pair.exchangeRaw(t, tc.request)
			require.Equal(t, tc.kind, resp.header.Get("Carobknot-Kind"), resp.body)
			require.Equal(t, tc.status, resp.status)
			require.Equal(t, "not-run", resp.header.Get("Carobknot-Outcome"))
			require.Contains(t, resp.body, tc.limit)
		})
	}

	// One call runs, so that the next one exceeds the limit of calls.
	slow, slowReader := pair.dial(t)
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 60000\r\n\r\n")
	require.NoError(t, err)
	awaitEvent(t, started, "the target was not called")
	resp := pair.exchangeRaw(t, "GET / HTTP/1.1\r\nHost: lookups\r\nConnection: close\r\n\r\n")
	require.Equal(t, "busy", resp.header.Get("Carobknot-Kind"))
	require.Equal(t, http.StatusServiceUnavailable, resp.status)

	// Idle connections use up the limit of connections.
	require.Eventually(t, func() bool {
		conn, reader := pair.dial(t)
		_ = conn.SetReadDeadline(clock.WallTime().Add(50 * time.Millisecond))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Carobknot-Kind") == "busy" &&
			strings.Contains(string(data), "4 connections")
	}, 10*time.Second, time.Millisecond)

	// The call that ran meanwhile gets its response.
	release()
	require.Equal(t, http.StatusOK, readResponse(t, slowReader).status)
}

// The call port does not serve the paths of the admin and peer ports, and the peer port
// refuses requests that are not valid attempts.
func TestPortsAreSeparate(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(http.ResponseWriter, *http.Request) {}))
	for _, host := range []string{pair.far.addresses["admin"], pair.far.addresses["peer"], "127.0.0.1", "localhost"} {
		for _, path := range []string{"/health", "/targets/lookups/x", "/metrics", "/carobknot.v1.Peer/Tell"} {
			resp := pair.exchangeRaw(t, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
			require.GreaterOrEqual(t, resp.status, http.StatusBadRequest, "%s at %s", path, host)
			require.NotEqual(t, "answered", resp.header.Get("Carobknot-Outcome"))
		}
	}
	peer := nodePair{near: &process{addresses: map[string]string{"call": pair.far.addresses["peer"]}}}
	attempt := "Carobknot-Call: near~1~1\r\nCarobknot-Attempt: 1\r\nCarobknot-Target: lookups/stand\r\nCarobknot-Patience: 1000000000\r\n"
	for name, head := range map[string]string{
		"plain call":             "GET /a HTTP/1.1\r\nHost: lookups\r\n\r\n",
		"no incarnation":         "GET /a HTTP/1.1\r\nHost: lookups\r\n" + attempt + "\r\n",
		"malformed header":       "GET /a HTTP/1.1\r\nHost lookups\r\n\r\n",
		"invalid call ID":        "GET /a HTTP/1.1\r\nHost: lookups\r\nCarobknot-Call: x\r\n\r\n",
		"other incarnation":      "GET /a HTTP/1.1\r\nHost: lookups\r\n" + attempt + "Carobknot-Incarnation: 7\r\n\r\n",
		"expect without attempt": "POST /a HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			resp := peer.exchangeRaw(t, head)
			require.Contains(t, []string{"invalid", "stale"}, resp.header.Get("Carobknot-Kind"))
			require.GreaterOrEqual(t, resp.status, http.StatusBadRequest)
		})
	}
}

// The trace context is propagated with a new span ID at each hop. The entry node starts
// a trace if the caller sends no valid context.
func TestTraceContext(t *testing.T) {
	pair := startNodePair(t)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, req.Header.Get("Traceparent")+" "+req.Header.Get("Tracestate"))
	}))
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	for name, tc := range map[string]struct{ header, want string }{
		"passed on": {"Traceparent: " + parent + "\r\nTracestate: a=1\r\n", `^00-4bf92f3577b34da6a3ce929d0e0e4736-[0-9a-f]{16}-01 a=1$`},
		"made":      {"", `^00-[0-9a-f]{32}-[0-9a-f]{16}-01 $`},
		"malformed": {"Traceparent: 00-x\r\n", `^00-[0-9a-f]{32}-[0-9a-f]{16}-01 $`},
	} {
		t.Run(name, func(t *testing.T) {
			resp := pair.exchangeRaw(t, "GET /a HTTP/1.1\r\nHost: lookups\r\n"+tc.header+"\r\n")
			require.Regexp(t, tc.want, resp.body)
			require.NotContains(t, resp.body, "00f067aa0ba902b7")
		})
	}
}
