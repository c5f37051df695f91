package carobpool

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

const idHeader = "Test-Id"

// matchesID reports whether the response carries the ID of the request.
func matchesID(req *fasthttp.Request, resp *fasthttp.Response) bool {
	return string(req.Header.Peek(idHeader)) == string(resp.Header.Peek(idHeader))
}

// respondWithID writes a response that carries an ID.
func respondWithID(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// fetch sends a request with an ID and returns the body of the response.
func fetch(t *testing.T, p *Pool, server *testServer, id string, nonIdempotent bool) (string, error) {
	t.Helper()
	req := newRequest(fasthttp.MethodGet, "/")
	req.Header.Set(idHeader, id)
	resp, err := p.Do(t.Context(), server.address, req, nonIdempotent)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, resp.Body.Close())
	return string(body), err
}

// TestResponsesToEarlierRequestsAreDiscarded guards against taking a second response
// that a server sends late, to an earlier request, for the response to the current
// one.
func TestResponsesToEarlierRequestsAreDiscarded(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, request int64) bool {
		if request > 1 {
			respondWithID(conn, "earlier", "of an earlier request")
		}
		respondWithID(conn, req.Header.Get(idHeader), "mine")
		return true
	})
	p := newPool(t, func(c *Config) { c.MatchesRequest = matchesID })
	for _, id := range []string{"r1", "r2", "r3"} {
		body, err := fetch(t, p, server, id, false)
		require.NoError(t, err)
		require.Equal(t, "mine", body)
	}
}

// TestOnlyForeignResponsesAreAnError checks that an exchange fails if the connection
// closes after a response to another request.
func TestOnlyForeignResponsesAreAnError(t *testing.T) {
	server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool {
		respondWithID(conn, "other", "of another request")
		return false
	})
	_, err := fetch(t, newPool(t, func(c *Config) { c.MatchesRequest = matchesID }), server, "r1", false)
	require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
}

// TestBodyMayEndWithConnection checks that, with AllowCloseDelimited, a body ends when
// the server closes the connection, and that a reset is not taken for the end of the
// body.
func TestBodyMayEndWithConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset bool
	}{{"closed", false}, {"reset", true}} {
		t.Run(c.name, func(t *testing.T) {
			server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall there is")
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, err := fetch(t, newPool(t, func(c *Config) { c.AllowCloseDelimited = true }), server, "r1", false)
			if c.reset {
				require.Error(t, err, "a reset means that the body is truncated")
				return
			}
			require.NoError(t, err)
			require.Equal(t, "all there is", body)
		})
	}
}

// TestNonIdempotentRequestAvoidsOldConnection guards against sending a request that
// must not run twice on a connection that has been idle for longer than MaxReuseAge. If
// the server has dropped that connection silently, it is unknown whether the request
// ran.
func TestNonIdempotentRequestAvoidsOldConnection(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		respondWithID(conn, req.Header.Get(idHeader), "mine")
		return true
	})
	p := newPool(t, func(c *Config) { c.MaxReuseAge = time.Nanosecond })
	for range 2 {
		_, err := fetch(t, p, server, "r1", false)
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, server.opened.Load())
	_, err := fetch(t, p, server, "r1", true)
	require.NoError(t, err)
	require.EqualValues(t, 2, server.opened.Load(), "the old connection is kept for idempotent requests")
}

// TestKeepAliveHeaderLimitsIdleTimeout guards against reusing a connection just as the
// server closes it, after the time-out in its Keep-Alive header.
func TestKeepAliveHeaderLimitsIdleTimeout(t *testing.T) {
	p := newPool(t, nil)
	for text, want := range map[string]time.Duration{
		"": time.Minute, "timeout=10": 5 * time.Second, "timeout=10, max=5": 5 * time.Second,
		"max=5": time.Minute, "timeout=soon": time.Minute, "timeout=1000": time.Minute,
	} {
		resp := &fasthttp.Response{}
		resp.Header.Set("Keep-Alive", text)
		require.Equal(t, want, p.idleTimeoutOf(resp), "Keep-Alive: %s", text)
	}
}

// TestConnectionIsClosedAfterARefusal guards against a refusal that a server writes once
// more, and that is taken for the response to a later attempt of the same call.
func TestConnectionIsClosedAfterARefusal(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		respondWithID(conn, req.Header.Get(idHeader), "mine")
		return true
	})
	refused := true
	p := newPool(t, func(c *Config) { c.IsRefusal = func(*fasthttp.Response) bool { return refused } })
	for range 3 {
		_, err := fetch(t, p, server, "r1", false)
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, server.opened.Load())
	refused = false
	for range 3 {
		_, err := fetch(t, p, server, "r1", false)
		require.NoError(t, err)
	}
	require.EqualValues(t, 4, server.opened.Load(), "other responses keep the connection")
}
