package carobpool

import (
	"bufio"
	"context"
	"errors"
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

// peer is the other end of a pool's connections.
type peer struct {
	address carobaddress.Address
	// opened and requests count the connections and the requests on them.
	opened, requests atomic.Int64
}

// listen has serve answer the requests of each connection, counted from 1. The
// connection closes when it returns false.
func listen(t *testing.T, serve func(cn net.Conn, rq *http.Request, connection, request int64) bool) *peer {
	t.Helper()
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ls.Close() })
	p := &peer{address: carobaddress.Address(ls.Addr().String())}
	go func() {
		for {
			cn, err := ls.Accept()
			if err != nil {
				return
			}
			go p.serve(cn, p.opened.Add(1), serve)
		}
	}()
	return p
}

func (p *peer) serve(cn net.Conn, connection int64, serve func(cn net.Conn, rq *http.Request, connection, request int64) bool) {
	defer func() { _ = cn.Close() }()
	reader := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(reader)
		if err != nil || !serve(cn, rq, connection, p.requests.Add(1)) {
			return
		}
	}
}

func newPool(t *testing.T, change func(c *Config)) *Pool {
	t.Helper()
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	c := Config{Timer: timer, Dial: time.Second, Idle: time.Minute, Kept: 4, Header: 4096, Stall: 10 * time.Second}
	if change != nil {
		change(&c)
	}
	p := NewPool(c)
	t.Cleanup(p.Close)
	return p
}

func request(method, path string) *fasthttp.Request {
	rq := &fasthttp.Request{}
	rq.Header.SetMethod(method)
	rq.Header.SetRequestURI(path)
	rq.Header.SetHost("lookups")
	return rq
}

// ask exchanges one request and reads the whole answer.
func ask(t *testing.T, p *Pool, pr *peer, rq *fasthttp.Request) (status int, body string, err error) {
	t.Helper()
	cx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	an, err := p.Do(cx, pr.address, rq, false)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(an.Body)
	require.NoError(t, an.Body.Close())
	return an.Response.StatusCode(), string(data), err
}

func reply(cn net.Conn, body string) bool {
	_, err := fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// A connection serves the next exchange only after an end beyond doubt. Each
// case answers the first request in its own way and the second as it should be.
func TestReuse(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(cn net.Conn) bool
		opened int64
		broken bool
	}{
		"clean end": {first: func(cn net.Conn) bool { return reply(cn, "/1") }, opened: 1},
		"chunks": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\n\r\n")
			return true
		}, opened: 1},
		"interim answers first": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			return reply(cn, "/1")
		}, opened: 1},
		"second answer nobody asked for": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
			return true
		}, opened: 2},
		"body longer than said": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1more")
			return true
		}, opened: 2},
		"said to close": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n/1")
			return true
		}, opened: 2},
		"closed afterwards": {first: func(cn net.Conn) bool {
			reply(cn, "/1")
			return false
		}, opened: 2},
		"short body": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n/1")
			return false
		}, opened: 2, broken: true},
		"chunks without an end": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n")
			return false
		}, opened: 2, broken: true},
		"no length": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\n/1")
			return false
		}, opened: 2, broken: true},
		"two lengths": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n/1")
			return true
		}, opened: 2, broken: true},
		"length and chunks": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n/1\r\n0\r\n\r\n")
			return true
		}, opened: 2, broken: true},
		"switched protocols": {first: func(cn net.Conn) bool {
			_, _ = io.WriteString(cn, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")
			return true
		}, opened: 2, broken: true},
		"closed without an answer": {first: func(net.Conn) bool { return false }, opened: 2, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			pr := listen(t, func(cn net.Conn, rq *http.Request, _, request int64) bool {
				if request == 1 {
					return c.first(cn)
				}
				return reply(cn, rq.URL.Path)
			})
			p := newPool(t, nil)
			_, body, err := ask(t, p, pr, request(fasthttp.MethodGet, "/1"))
			if c.broken {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, "/1", body)
			}
			// A close from the other end needs a moment to arrive here.
			require.Eventually(t, func() bool { return c.opened == 1 || idleQuiet(p, pr) == 0 }, 5*time.Second, time.Millisecond)
			_, body, err = ask(t, p, pr, request(fasthttp.MethodGet, "/2"))
			require.NoError(t, err)
			require.Equal(t, "/2", body, "the next asker gets its own answer")
			require.Equal(t, c.opened, pr.opened.Load())
			require.Equal(t, int64(2), pr.requests.Load(), "no request is sent again by itself")
		})
	}
}

// idleQuiet returns how many unused connections could serve an exchange now.
func idleQuiet(p *Pool, pr *peer) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n := 0
	for _, cn := range p.idle[pr.address] {
		if quiet(cn) {
			n++
		}
	}
	return n
}

// Bytes that come on an unused connection are nobody's answer.
func TestUnsolicitedBytes(t *testing.T) {
	more := make(chan struct{})
	pr := listen(t, func(cn net.Conn, rq *http.Request, connection, _ int64) bool {
		reply(cn, rq.URL.Path)
		if connection == 1 {
			<-more
			return reply(cn, "evil")
		}
		return true
	})
	p := newPool(t, nil)
	_, _, err := ask(t, p, pr, request(fasthttp.MethodGet, "/1"))
	require.NoError(t, err)
	close(more)
	require.Eventually(t, func() bool { return idleQuiet(p, pr) == 0 }, 5*time.Second, time.Millisecond)
	_, body, err := ask(t, p, pr, request(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
}

// The answer to an exchange that was given up never reaches the next asker, and
// the other end sees the connection close.
func TestAbandonedExchange(t *testing.T) {
	asked, closed, late := make(chan struct{}), make(chan error, 1), make(chan struct{})
	pr := listen(t, func(cn net.Conn, rq *http.Request, connection, _ int64) bool {
		if connection > 1 {
			return reply(cn, rq.URL.Path)
		}
		close(asked)
		<-late
		_, err := cn.Read(make([]byte, 1))
		reply(cn, "evil")
		closed <- err
		return false
	})
	p := newPool(t, nil)
	cx, cancel := context.WithCancel(t.Context())
	go func() {
		<-asked
		cancel()
	}()
	_, err := p.Do(cx, pr.address, request(fasthttp.MethodPost, "/1"), false)
	require.Equal(t, carobkind.Cancelled, carobkind.Of(err))
	close(late)
	require.ErrorIs(t, <-closed, io.EOF)
	_, body, err := ask(t, p, pr, request(fasthttp.MethodPost, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
}

// An answer whose body nobody read to the end takes its connection with it.
func TestUnreadAnswer(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, _ int64) bool {
		return reply(cn, rq.URL.Path+strings.Repeat("x", 10_000))
	})
	p := newPool(t, nil)
	an, err := p.Do(t.Context(), pr.address, request(fasthttp.MethodGet, "/1"), false)
	require.NoError(t, err)
	_, err = an.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, an.Body.Close())
	_, body, err := ask(t, p, pr, request(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(body, "/2"))
	require.Equal(t, int64(2), pr.opened.Load())
}

// touched is a body that tells whether a byte of it was asked for.
type touched struct {
	io.Reader
	reads atomic.Int64
}

func (b *touched) Read(into []byte) (int, error) {
	b.reads.Add(1)
	return b.Reader.Read(into)
}

// A refusal uses nothing of a body up that waits to be asked for.
func TestRefusedBeforeBody(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, _ int64) bool {
		if rq.Header.Get("Expect") == "" {
			return false
		}
		_, _ = io.WriteString(cn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	p := newPool(t, func(c *Config) { c.Ask = true })
	bd := &touched{Reader: strings.NewReader(strings.Repeat("x", 100_000))}
	rq := request(fasthttp.MethodPost, "/1")
	rq.SetBodyStream(bd, 100_000)
	status, _, err := ask(t, p, pr, rq)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Zero(t, bd.reads.Load())
}

// A body that waits goes once it is asked for, whatever its length says.
func TestAskedBody(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, _ int64) bool {
		if rq.Header.Get("Expect") != "100-continue" {
			return false
		}
		_, _ = io.WriteString(cn, "HTTP/1.1 100 Continue\r\n\r\n")
		data, err := io.ReadAll(rq.Body)
		return err == nil && reply(cn, fmt.Sprint(len(data)))
	})
	p := newPool(t, func(c *Config) { c.Ask = true })
	for _, length := range []int{100_000, -1} {
		rq := request(fasthttp.MethodPost, "/1")
		rq.SetBodyStream(strings.NewReader(strings.Repeat("x", 100_000)), length)
		_, body, err := ask(t, p, pr, rq)
		require.NoError(t, err)
		require.Equal(t, "100000", body)
	}
}

// endless is a body that never ends.
type endless struct{}

func (endless) Read(into []byte) (int, error) { return len(into), nil }

// An answer that comes while the body is still going is seen, and the
// connection is not used again.
func TestEarlyAnswer(t *testing.T) {
	pr := listen(t, func(cn net.Conn, rq *http.Request, connection, _ int64) bool {
		if connection > 1 {
			return reply(cn, rq.URL.Path)
		}
		_, _ = io.WriteString(cn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, rq.Body)
		return false
	})
	p := newPool(t, nil)
	rq := request(fasthttp.MethodPost, "/1")
	rq.SetBodyStream(endless{}, 1<<50)
	status, _, err := ask(t, p, pr, rq)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	_, body, err := ask(t, p, pr, request(fasthttp.MethodGet, "/2"))
	require.NoError(t, err)
	require.Equal(t, "/2", body)
	require.Equal(t, int64(2), pr.opened.Load())
}

// A body whose source fails is never ended as if it were whole.
func TestBrokenSource(t *testing.T) {
	for name, length := range map[string]int{"length": 100_000, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			seen := make(chan error, 1)
			pr := listen(t, func(_ net.Conn, rq *http.Request, _, _ int64) bool {
				_, err := io.Copy(io.Discard, rq.Body)
				seen <- err
				return false
			})
			rq := request(fasthttp.MethodPost, "/1")
			broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 50_000)), failing{})
			rq.SetBodyStream(broken, length)
			_, _, err := ask(t, newPool(t, nil), pr, rq)
			require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
			require.Error(t, <-seen)
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("cut") }

// A body that stands still is cut, in both directions.
func TestStall(t *testing.T) {
	stuck := make(chan struct{})
	t.Cleanup(func() { close(stuck) })
	pr := listen(t, func(cn net.Conn, rq *http.Request, _, _ int64) bool {
		if rq.URL.Path == "/answer" {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n/1")
		}
		<-stuck
		return false
	})
	p := newPool(t, func(c *Config) { c.Stall = 100 * time.Millisecond })
	_, _, err := ask(t, p, pr, request(fasthttp.MethodGet, "/answer"))
	require.Error(t, err)
}

// Nothing was sent if no connection could be opened.
func TestUnreachable(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := carobaddress.Address(ls.Addr().String())
	require.NoError(t, ls.Close())
	_, err = newPool(t, nil).Do(t.Context(), address, request(fasthttp.MethodGet, "/1"), false)
	require.Equal(t, carobkind.Unreachable, carobkind.Of(err))
	require.True(t, carobkind.Of(err).NotRun())
}
