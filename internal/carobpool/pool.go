// Package carobpool exchanges requests and answers over pooled connections.
//
// The HTTP library's own client is not used: it sends a request again by itself
// when a kept connection turns out closed, and it cannot give up one exchange
// by closing its connection. Here a request is written once, to one connection,
// which serves the next exchange only after its answer was read to the end.
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

// Config is how a pool is made.
type Config struct {
	Timer *carobtimer.Timer
	// Dial is how long opening a connection may take.
	Dial time.Duration
	// Idle is how long a connection is kept unused.
	Idle time.Duration
	// Kept is the most unused connections to one address.
	Kept int
	// Header is the longest header of an answer.
	Header int
	// Stall is how long the other end may take or send nothing while a body is
	// on its way.
	Stall time.Duration
	// Ask says that the other end is asked whether it takes the request before
	// a body that needs more than one write is sent to it.
	Ask bool
	// Recent is how long a connection may have been unused that gets a request which
	// must not run twice; 0 is as long as any. The other end may have dropped an
	// older one without a word, and then nobody knows whether it ran.
	Recent time.Duration
	// Alive is the time between two signs of life that a connection must give while
	// nothing comes on it; 0 is the system's default. Three that are missed break it.
	Alive time.Duration
	// Unframed says that an answer may have neither a length nor chunks, and end
	// with its connection.
	Unframed bool
	// Mine reports whether an answer belongs to the request; nil takes all. Others
	// are passed over, since they answer earlier requests on the connection.
	Mine func(rq *fasthttp.Request, rs *fasthttp.Response) bool
}

// Pool keeps connections to several addresses.
type Pool struct {
	config Config
	dialer net.Dialer
	mutex  sync.Mutex
	// idle has the unused connections, the one used last at the end.
	idle map[carobaddress.Address][]*conn
}

type conn struct {
	net.Conn
	address carobaddress.Address
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idle is how long the connection is kept unused.
	idle time.Duration
	// since is when the connection was last used.
	since carobinstant.Instant
}

const (
	// bufferSize is the longest request that is sent in one write.
	bufferSize = 4096
	// missed is how many signs of life may be missing before a connection breaks.
	missed = 3
	// smallestHeader is the least room for the header of an answer.
	smallestHeader = 4096
)

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	p := &Pool{config: c, dialer: net.Dialer{Timeout: c.Dial}, idle: map[carobaddress.Address][]*conn{}}
	if c.Alive > 0 {
		p.dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.Alive, Interval: c.Alive, Count: missed}
		p.dialer.Control = bound(missed * c.Alive)
	}
	return p
}

// Do sends a request and returns the head of its answer. When cx ends, the
// connection is closed, which the other end sees as cancellation. An error is
// Unreachable if nothing was sent, Cancelled if cx ended, and Cut otherwise.
//
// careful says that the request must not run twice.
//
// The request's body may still be on its way when Do returns. It is until the
// answer's body is closed.
func (p *Pool) Do(cx context.Context, ad carobaddress.Address, rq *fasthttp.Request, careful bool) (*carobanswer.Answer, error) {
	cn, err := p.get(cx, ad, careful)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Unreachable, err, "open connection")
	}
	stop := context.AfterFunc(cx, func() { _ = cn.Close() })
	x := &exchange{config: p.config, conn: cn, request: rq}
	rs, err := x.run()
	if err != nil {
		stop()
		_ = cn.Close()
		if cx.Err() != nil {
			return nil, carobkind.Wrap(carobkind.Cancelled, err, "exchange")
		}
		return nil, carobkind.Wrap(carobkind.ConnectionLost, err, "exchange")
	}
	bd := &body{pool: p, conn: cn, stop: stop, exchange: x, keep: !rs.ConnectionClose(), stream: rs.BodyStream()}
	length := max(rs.Header.ContentLength(), -1)
	cn.idle = p.idleOf(rs)
	bd.left, bd.ended = length, bd.stream == nil || length == 0
	return &carobanswer.Answer{Response: rs, Bodiless: bd.stream == nil, Length: length, Body: bd}, nil
}

// await bounds the next read of a body. Bytes that are here already need no
// bound.
func (c *conn) await(cf Config) {
	if c.reader.Buffered() == 0 {
		_ = c.SetReadDeadline(cf.Timer.Wall().Add(cf.Stall))
	}
}

// get returns an unused connection or opens one.
func (p *Pool) get(cx context.Context, ad carobaddress.Address, careful bool) (*conn, error) {
	for {
		cn := p.pop(ad)
		if cn == nil {
			return p.open(cx, ad)
		}
		age := p.config.Timer.Now().Sub(cn.since)
		if age < cn.idle && quiet(cn) {
			if careful && p.config.Recent > 0 && age > p.config.Recent {
				p.keep(cn)
				return p.open(cx, ad)
			}
			return cn, nil
		}
		_ = cn.Close()
	}
}

func (p *Pool) pop(ad carobaddress.Address) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[ad]
	if len(idle) == 0 {
		return nil
	}
	cn := idle[len(idle)-1]
	p.idle[ad] = idle[:len(idle)-1]
	return cn
}

func (p *Pool) put(cn *conn) {
	cn.since = p.config.Timer.Now()
	_ = cn.SetDeadline(time.Time{})
	p.keep(cn)
}

// keep holds a connection for a later request.
func (p *Pool) keep(cn *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[cn.address]) >= p.config.Kept {
		_ = cn.Close()
		return
	}
	p.idle[cn.address] = append(p.idle[cn.address], cn)
}

func (p *Pool) open(cx context.Context, ad carobaddress.Address) (*conn, error) {
	nc, err := p.dialer.DialContext(cx, "tcp", string(ad))
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: nc, address: ad, idle: p.config.Idle,
		reader: bufio.NewReaderSize(nc, max(p.config.Header, smallestHeader)), writer: bufio.NewWriterSize(nc, bufferSize),
	}, nil
}

// Close closes the unused connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for ad, idle := range p.idle {
		for _, cn := range idle {
			_ = cn.Close()
		}
		delete(p.idle, ad)
	}
}

// body reads an answer's body and gives its connection back.
type body struct {
	pool   *Pool
	conn   *conn
	stream io.Reader
	// exchange tells whether the whole request was sent.
	exchange *exchange
	// stop ends the watch for cancellation; it reports whether it was in time.
	stop func() bool
	// keep says that the connection may serve another exchange.
	keep bool
	// left is the number of bytes still to come; negative if it is not known.
	left int
	// ended says that the whole body was read.
	ended  bool
	closed bool
}

// Read reads on.
func (b *body) Read(into []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	b.conn.await(b.pool.config)
	n, err := b.stream.Read(into)
	b.left -= n
	if err == io.EOF || b.left == 0 { //nolint:errorlint // readers return io.EOF itself
		b.ended = true
	}
	return n, err
}

// Close gives the connection back if the body was read to its end, and closes
// it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.stop() || !b.ended || !b.keep || !b.exchange.sent.Load() {
		return b.conn.Close()
	}
	b.pool.put(b.conn)
	return nil
}

// idleOf returns how long a connection may be kept unused: a part of what the
// other end says, if it says so.
func (p *Pool) idleOf(rs *fasthttp.Response) time.Duration {
	_, text, found := strings.Cut(string(rs.Header.Peek("Keep-Alive")), "timeout=")
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if !found || err != nil {
		return p.config.Idle
	}
	const part = 2
	return min(p.config.Idle, time.Duration(seconds)*time.Second/part)
}

// bound has a connection break when the other end acknowledges nothing for a
// time.
func bound(silence time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		errControl := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond)) //nolint:gosec // descriptors are small
		})
		return errors.Join(errControl, err)
	}
}
