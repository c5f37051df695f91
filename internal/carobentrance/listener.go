package carobentrance

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// lingering is how long bytes of a refused call are still read, so that they do
// not make the kernel throw the refusal away before the caller has it.
const lingering = 2 * time.Second

// boundedListener accepts callers' connections and refuses those above the limit.
type boundedListener struct {
	net.Listener
	timer *carobtimer.Timer
	limit int64
	open  atomic.Int64
}

// Accept waits for the next connection below the limit.
func (d *boundedListener) Accept() (net.Conn, error) {
	for {
		cn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: cn, listener: d}
		if d.open.Add(1) <= d.limit {
			return c, nil
		}
		c.turnAway()
	}
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener *boundedListener
	// linger says that bytes of a refused call may still be coming.
	linger atomic.Bool
	once   sync.Once
}

// SyscallConn gives access to the file descriptor.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return sc.SyscallConn()
}

// Close closes the connection, after the other end has had time to read a
// refusal.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if c.linger.Load() {
			go c.drain()
			return
		}
		c.shut()
	})
	return nil
}

func (c *callerConn) shut() {
	_ = c.Conn.Close()
	c.listener.open.Add(-1)
}

func (c *callerConn) drain() {
	defer c.shut()
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	_ = tc.SetReadDeadline(c.listener.timer.Wall().Add(lingering))
	_, _ = io.Copy(io.Discard, tc)
}

// turnAway refuses a connection above the limit.
func (c *callerConn) turnAway() {
	kind := carobkind.Busy
	text := fmt.Sprintf("%s: the limit of %d connections is reached\n", kind, c.listener.limit)
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n"+
		"%s: %s\r\n%s: %s\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind.Status(), http.StatusText(kind.Status()), carobheader.Outcome, kind.Outcome(), carobheader.Kind, kind,
		int(kind.RetryAfter()/time.Second), len(text), text)
	_ = c.SetWriteDeadline(c.listener.timer.Wall().Add(lingering))
	_, _ = io.WriteString(c.Conn, answer)
	c.linger.Store(true)
	_ = c.Close()
}

// linger has a connection closed only after the refusal on it could be read.
func linger(cn net.Conn) {
	if c, ok := cn.(*callerConn); ok {
		c.linger.Store(true)
	}
}
