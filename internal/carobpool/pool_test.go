package carobpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// testServer is the server of a pool's connections.
type testServer struct {
	address carobaddress.Address
	// opened and requests count the connections that were opened and the requests that
	// were read.
	opened, requests atomic.Int64
}

// startServer starts a server that calls serve for each request. Connections and
// requests are numbered from 1. A connection is closed when serve returns false.
func startServer(t *testing.T, serve func(conn net.Conn, req *http.Request, connection, request int64) bool) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &testServer{address: carobaddress.Address(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn, server.opened.Add(1), serve)
		}
	}()
	return server
}

func (s *testServer) serve(conn net.Conn, connection int64, serve func(conn net.Conn, req *http.Request, connection, request int64) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil || !serve(conn, req, connection, s.requests.Add(1)) {
			return
		}
	}
}

// newPool returns a pool; change, which may be nil, changes its parameters.
func newPool(t *testing.T, change func(c *Config)) *Pool {
	t.Helper()
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	c := Config{Timer: timer, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdleConns: 4, MaxHeader: 4096, StallTimeout: 10 * time.Second}
	if change != nil {
		change(&c)
	}
	p := NewPool(c)
	t.Cleanup(func() { p.CloseIdle() })
	return p
}

// newRequest returns a request without a body.
func newRequest(method, path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost("lookups")
	return req
}

// roundTrip sends one request and reads the whole response.
func roundTrip(t *testing.T, p *Pool, server *testServer, req *fasthttp.Request) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := p.Do(ctx, server.address, req, false)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(answer.Body)
	require.NoError(t, answer.Body.Close())
	return answer.Response.StatusCode(), string(data), err
}

// respond writes a response with a length, and reports whether that succeeded.
func respond(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// TestConnectionReuse guards against a client that receives the response to another
// request. That happens if a connection is reused although the end of the previous
// response is uncertain. In each case the server answers the first request as
// described and the second one correctly.
func TestConnectionReuse(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(conn net.Conn) bool
		opened int64
		broken bool
	}{
		"clean end": {first: func(conn net.Conn) bool { return respond(conn, "/1") }, opened: 1},
		"chunks": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\n\r\n")
			return true
		}, opened: 1},
		"chunks and trailers": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\nX-Late: 1\r\n\r\n")
			return true
		}, opened: 1},
		"interim responses first": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			return respond(conn, "/1")
		}, opened: 1},
		"second response without a request": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
			return true
		}, opened: 2},
		"body longer than its length": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1more")
			return true
		}, opened: 2},
		"Connection: close": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n/1")
			return true
		}, opened: 2},
		"closed after the response": {first: func(conn net.Conn) bool {
			respond(conn, "/1")
			return false
		}, opened: 2},
		"short body": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n/1")
			return false
		}, opened: 2, broken: true},
		"chunks without an end": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n")
			return false
		}, opened: 2, broken: true},
		"chunks cut in their trailers": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\nX-Late: 1\r\n")
			return false
		}, opened: 2, broken: true},
		"no length": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n/1")
			return false
		}, opened: 2, broken: true},
		"two lengths": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n/1")
			return true
		}, opened: 2, broken: true},
		"length and chunks": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\n\r\n")
			return true
		}, opened: 2, broken: true},
		"switched protocols": {first: func(conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")
			return true
		}, opened: 2, broken: true},
		"closed without a response": {first: func(net.Conn) bool { return false }, opened: 2, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, func(conn net.Conn, req *http.Request, _, request int64) bool {
				if request == 1 {
					return c.first(conn)
				}
				return respond(conn, req.URL.Path)
			})
			p := newPool(t, nil)
			_, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/1"))
			if c.broken {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, "/1", body)
			}
			// The server's close takes a moment to arrive.
			require.Eventually(t, func() bool { return c.opened == 1 || reusableConns(p, server) == 0 }, 5*time.Second, time.Millisecond)
			_, body, err = roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/2"))
			require.NoError(t, err)
			require.Equal(t, "/2", body, "the next request gets its own response")
			require.Equal(t, c.opened, server.opened.Load())
			require.Equal(t, int64(2), server.requests.Load(), "the pool resends no request")
		})
	}
}

// reusableConns returns how many idle connections could serve an exchange now.
func reusableConns(p *Pool, server *testServer) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conn := range p.idle[server.address] {
		if isReusable(conn) {
			n++
		}
	}
	return n
}

// TestUnsolicitedBytesOnIdleConnection guards against taking bytes that arrive on an
// idle connection for the response to the next request.
func TestUnsolicitedBytesOnIdleConnection(t *testing.T) {
	sendMore := make(chan struct{})
	server := startServer(t, func(conn net.Conn, req *http.Request, connection, _ int64) bool {
		respond(conn, req.URL.Path)
		if connection == 1 {
			<-sendMore
			return respond(conn, "evil")
		}
		return true
	})
	p := newPool(t, nil)
	_, _, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/1"))
	require.NoError(t, err)
	close(sendMore)
	require.Eventually(t, func() bool { return reusableConns(p, server) == 0 }, 5*time.Second, time.Millisecond)
	_, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
}

// TestCancelledExchangeClosesConnection guards against taking the response to a
// cancelled request for the response to the next one. The server sees that the
// connection closes.
func TestCancelledExchangeClosesConnection(t *testing.T) {
	requestRead, closed, respondLate := make(chan struct{}), make(chan error, 1), make(chan struct{})
	server := startServer(t, func(conn net.Conn, req *http.Request, connection, _ int64) bool {
		if connection > 1 {
			return respond(conn, req.URL.Path)
		}
		close(requestRead)
		<-respondLate
		_, err := conn.Read(make([]byte, 1))
		respond(conn, "evil")
		closed <- err
		return false
	})
	p := newPool(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-requestRead
		cancel()
	}()
	_, err := p.Do(ctx, server.address, newRequest(fasthttp.MethodPost, "/1"), false)
	require.Equal(t, carobkind.Cancelled, carobkind.Of(err))
	close(respondLate)
	require.ErrorIs(t, <-closed, io.EOF)
	_, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodPost, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
}

// TestUnreadResponseClosesConnection guards against reusing a connection on which
// part of a response's body has not been read.
func TestUnreadResponseClosesConnection(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		return respond(conn, req.URL.Path+strings.Repeat("x", 10_000))
	})
	p := newPool(t, nil)
	answer, err := p.Do(t.Context(), server.address, newRequest(fasthttp.MethodGet, "/1"), false)
	require.NoError(t, err)
	_, err = answer.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	_, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(body, "/2"))
	require.Equal(t, int64(2), server.opened.Load())
}

// countingBody is a body that counts how often it is read.
type countingBody struct {
	io.Reader
	reads atomic.Int64
}

func (b *countingBody) Read(into []byte) (int, error) {
	b.reads.Add(1)
	return b.Reader.Read(into)
}

// TestUnreachable checks that the error for a connection that cannot be opened has a
// kind which means that the call did not run.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := carobaddress.Address(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, err = newPool(t, nil).Do(t.Context(), address, newRequest(fasthttp.MethodGet, "/1"), false)
	require.Equal(t, carobkind.Unreachable, carobkind.Of(err))
	require.True(t, carobkind.Of(err).NotRun())
}
