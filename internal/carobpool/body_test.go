package carobpool

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// TestRefusalReadsNoBody guards against reading the body of a request that the server
// refuses instead of sending 100 Continue. Such a body can be sent to another target.
func TestRefusalReadsNoBody(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		if req.Header.Get("Expect") == "" {
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	p := newPool(t, func(c *Config) { c.ExpectContinue = true })
	body := &countingBody{Reader: strings.NewReader(strings.Repeat("x", 100_000))}
	req := newRequest(fasthttp.MethodPost, "/1")
	req.SetBodyStream(body, 100_000)
	status, _, err := roundTrip(t, p, server, req)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, body.reads.Load())
}

// TestBodyIsSentAfterContinue checks that the body is sent after 100 Continue, both
// with a length and in chunks.
func TestBodyIsSentAfterContinue(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		if req.Header.Get("Expect") != "100-continue" {
			return false
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		data, err := io.ReadAll(req.Body)
		return err == nil && respond(conn, fmt.Sprint(len(data)))
	})
	p := newPool(t, func(c *Config) { c.ExpectContinue = true })
	for _, length := range []int{100_000, -1} {
		req := newRequest(fasthttp.MethodPost, "/1")
		req.SetBodyStream(strings.NewReader(strings.Repeat("x", 100_000)), length)
		_, body, err := roundTrip(t, p, server, req)
		require.NoError(t, err)
		require.Equal(t, "100000", body)
	}
}

// TestResponseDuringBody guards against missing a response that arrives while the
// body is still being sent, and against reusing the connection afterwards.
func TestResponseDuringBody(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, connection, _ int64) bool {
		if connection > 1 {
			return respond(conn, req.URL.Path)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, req.Body)
		return false
	})
	p := newPool(t, nil)
	req := newRequest(fasthttp.MethodPost, "/1")
	req.SetBodyStream(endlessBody{}, 1<<50)
	status, _, err := roundTrip(t, p, server, req)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	_, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
	require.Equal(t, int64(2), server.opened.Load())
}

// TestFailedBodyIsNotCompleted guards against a server that takes the first part of a
// body for the complete body when reading the rest from its source fails.
func TestFailedBodyIsNotCompleted(t *testing.T) {
	for name, length := range map[string]int{"length": 100_000, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			readError := make(chan error, 1)
			server := startServer(t, func(_ net.Conn, req *http.Request, _, _ int64) bool {
				_, err := io.Copy(io.Discard, req.Body)
				readError <- err
				return false
			})
			req := newRequest(fasthttp.MethodPost, "/1")
			broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 50_000)), failingReader{})
			req.SetBodyStream(broken, length)
			_, _, err := roundTrip(t, newPool(t, nil), server, req)
			require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
			require.Error(t, <-readError)
		})
	}
}

// TestStalledResponseBody guards against waiting forever for the rest of a response
// body that the server stops sending.
func TestStalledResponseBody(t *testing.T) {
	stuck := make(chan struct{})
	t.Cleanup(func() { close(stuck) })
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		if req.URL.Path == "/answer" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n/1")
		}
		<-stuck
		return false
	})
	p := newPool(t, func(c *Config) { c.StallTimeout = 100 * time.Millisecond })
	_, _, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/answer"))
	require.Error(t, err)
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(into []byte) (int, error) { return len(into), nil }

// failingReader is a body that fails at once.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut") }
