// Package carobpool sends requests and reads responses over pooled HTTP/1.1
// connections.
//
// The client of the HTTP library is not used: it resends a request by itself when
// a pooled connection turns out to be closed, and it cannot cancel a single
// exchange by closing its connection. Here a request is written once, to one
// connection, which serves the next exchange only after the response has been read
// to its end.
package carobpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Config holds the parameters of a pool.
type Config struct {
	Timer *carobtimer.Timer
	// DialTimeout is the time-out for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdleConns is the largest number of idle connections to one address, and
	// MaxIdleTotal of those to all addresses; 0 means no limit of the total.
	MaxIdleConns, MaxIdleTotal int
	// MaxHeader is the size of the read buffer of a connection, in bytes. A response
	// whose header is longer is rejected. It is 4096 at least.
	MaxHeader int
	// StallTimeout is how long the peer may send or accept nothing while a body is
	// being transferred.
	StallTimeout time.Duration
	// ExpectContinue is true if the client sends "Expect: 100-continue" and waits for
	// the peer's agreement before it sends a body that needs more than one write.
	ExpectContinue bool
	// MaxReuseAge is the longest time that a connection may have been idle to get a
	// request which must not run twice; 0 means no limit. The peer may have dropped an
	// older connection silently, and then it is unknown whether the request ran.
	MaxReuseAge time.Duration
	// KeepAliveInterval is the interval between TCP keep-alive probes on a connection
	// without traffic; 0 means the operating system's default. The connection breaks
	// after three probes without an answer.
	KeepAliveInterval time.Duration
	// AllowCloseDelimited is true if a response may have neither a length nor chunks,
	// so that its body ends when the connection closes.
	AllowCloseDelimited bool
	// MatchesRequest reports whether a response belongs to the request; nil accepts
	// every response. Other responses are discarded: they answer earlier requests on
	// the connection.
	MatchesRequest func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// IsRefusal reports whether a response states that the request did not run; nil means
	// that none does. The connection is closed after a refusal: a faulty server may write
	// the refusal once more, to a later attempt of the same call.
	IsRefusal func(resp *fasthttp.Response) bool
}

// Pool sends requests and keeps idle connections to several addresses.
type Pool struct {
	config Config
	dialer net.Dialer
	// sweepAt sets when the timer calls sweep next.
	sweepAt func(at carobinstant.Instant)
	mu      sync.Mutex
	// idle has the idle connections of each address, the most recently used one last. An
	// address without idle connections has no entry.
	idle map[carobaddress.Address][]*pooledConn
	// total is the number of connections in idle.
	total int
	// sweeping is true while a sweep is due.
	sweeping bool
}

// pooledConn is a connection with its buffers.
type pooledConn struct {
	net.Conn
	address carobaddress.Address
	// fd is the file descriptor of Conn. It must not be used once Conn may be closed.
	fd     int32
	reader *bufio.Reader
	writer *bufio.Writer
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// lastUsed is when the last exchange ended.
	lastUsed carobinstant.Instant
}

const (
	// writeBufferSize is the size of a connection's write buffer, and the longest body
	// held in memory that is sent without a goroutine of its own, in bytes.
	writeBufferSize = 4096
	// keepAliveProbes is the number of unanswered keep-alive probes after which a
	// connection breaks.
	keepAliveProbes = 3
	// minReadBufferSize is the smallest read buffer of a connection, in bytes.
	minReadBufferSize = 4096
)

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	p := &Pool{config: c, dialer: net.Dialer{Timeout: c.DialTimeout}, idle: map[carobaddress.Address][]*pooledConn{}}
	p.sweepAt = c.Timer.Subscribe(p.sweep)
	if c.KeepAliveInterval > 0 {
		p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveInterval, Interval: c.KeepAliveInterval, Count: keepAliveProbes}
		p.dialer.Control = setUserTimeout(keepAliveProbes * c.KeepAliveInterval)
	}
	return p
}

// Do sends a request and returns the response, with its body not yet read. When
// ctx ends, the connection is closed, which the peer sees as cancellation. The kind
// of an error is Unreachable if nothing was sent, Cancelled if ctx ended, and
// ConnectionLost otherwise.
//
// nonIdempotent is true if the request must not run twice; it then gets no
// connection that has been idle for longer than Config.MaxReuseAge.
//
// The body of the request may still be being sent when Do returns, until the body
// of the response is closed.
func (p *Pool) Do(ctx context.Context, address carobaddress.Address, req *fasthttp.Request, nonIdempotent bool) (*carobanswer.Answer, error) {
	conn, err := p.get(ctx, address, nonIdempotent)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Unreachable, err, "open connection")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	x := &exchange{config: p.config, conn: conn, request: req}
	resp, err := x.run()
	if err != nil {
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, carobkind.Wrap(carobkind.Cancelled, err, "exchange")
		}
		return nil, carobkind.Wrap(carobkind.ConnectionLost, err, "exchange")
	}
	refused := p.config.IsRefusal != nil && p.config.IsRefusal(resp)
	respBody := &body{pool: p, conn: conn, stop: stop, exchange: x, reusable: !resp.ConnectionClose() && !refused, stream: resp.BodyStream()}
	length := max(resp.Header.ContentLength(), -1)
	conn.idleTimeout = p.idleTimeoutOf(resp)
	respBody.closeDelimited = resp.Header.ContentLength() < -1
	respBody.bytesLeft, respBody.ended = length, respBody.stream == nil || length == 0
	return &carobanswer.Answer{Response: resp, NoBody: respBody.stream == nil, Length: length, Body: respBody}, nil
}

// extendReadDeadline sets the deadline of the next read of a body. It leaves the
// deadline as it is while buffered bytes are left, since reading those cannot block.
func (c *pooledConn) extendReadDeadline(config Config) {
	if c.reader.Buffered() == 0 {
		_ = c.SetReadDeadline(config.Timer.WallTime().Add(config.StallTimeout))
	}
}

// body reads the body of a response and returns its connection to the pool.
type body struct {
	pool   *Pool
	conn   *pooledConn
	stream io.Reader
	// exchange records whether the whole request was sent.
	exchange *exchange
	// stop ends the watch for cancellation. It reports false if the connection has been
	// closed because the context ended.
	stop func() bool
	// reusable is false if the response has "Connection: close" or is a refusal.
	reusable bool
	// closeDelimited is true if the body ends when the connection closes.
	closeDelimited bool
	// bytesLeft is the number of bytes still to be read; negative if it is not known.
	bytesLeft int
	// ended is true once the whole body has been read.
	ended  bool
	closed bool
}

// Read reads the next bytes of the body. It fails if the peer sends nothing for
// Config.StallTimeout.
func (b *body) Read(into []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	b.conn.extendReadDeadline(b.pool.config)
	n, err := b.stream.Read(into)
	b.bytesLeft -= n
	if err == io.EOF && b.closeDelimited && b.exchange.isBroken() { //nolint:errorlint // readers return io.EOF itself
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF || b.bytesLeft == 0 { //nolint:errorlint // readers return io.EOF itself
		b.ended = true
	}
	return n, err
}

// Close returns the connection to the pool if the whole request was sent, the body
// was read to its end and the peer keeps the connection open. Otherwise it closes
// the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.stop() || !b.ended || !b.reusable || !b.exchange.requestSent.Load() {
		return b.conn.Close()
	}
	b.pool.put(b.conn)
	return nil
}

// idleTimeoutOf returns how long the connection of a response may stay idle: half of
// the time-out in its Keep-Alive header, but at most Config.IdleTimeout. Without that
// header it is Config.IdleTimeout.
func (p *Pool) idleTimeoutOf(resp *fasthttp.Response) time.Duration {
	_, text, found := strings.Cut(string(resp.Header.Peek("Keep-Alive")), "timeout=")
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if !found || err != nil {
		return p.config.IdleTimeout
	}
	const divisor = 2
	return min(p.config.IdleTimeout, time.Duration(seconds)*time.Second/divisor)
}

// setUserTimeout returns a control function for net.Dialer that sets
// TCP_USER_TIMEOUT. A connection then breaks when the peer acknowledges none of the
// bytes sent for this time.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		errControl := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond)) //nolint:gosec // descriptors are small
		})
		return errors.Join(errControl, err)
	}
}
