package carobfrontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// lingerTimeout is how long a connection is still read after its last response. If
// unread bytes were left on it, closing it would make the kernel send a reset, and the
// caller could lose the response.
const lingerTimeout = 2 * time.Second

// boundedListener accepts connections of callers and refuses those above the
// limit.
type boundedListener struct {
	net.Listener
	timer *carobtimer.Timer
	// limit is the maximum number of open connections, and open their number.
	limit int64
	open  atomic.Int64
}

// Accept waits for the next connection below the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l}
		if l.open.Add(1) <= l.limit {
			return c, nil
		}
		c.refuse()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *boundedListener
	// linger is true from the first byte of a call until its response has been sent: if the
	// connection closes then, the caller may still be sending.
	linger atomic.Bool
	once   sync.Once
}

// SyscallConn gives access to the file descriptor, which carobdisconnectwatch needs. It
// returns net.ErrClosed if the connection has none.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return syscallConn.SyscallConn()
}

// Close closes the connection. If linger is set, it does so in the background,
// once the caller has had time to read the response.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if c.linger.Load() {
			go c.drainAndClose()
			return
		}
		c.closeNow()
	})
	return nil
}

// closeNow closes the connection and frees its place below the limit.
func (c *callerConn) closeNow() {
	_ = c.Conn.Close()
	c.listener.open.Add(-1)
}

// drainAndClose closes the sending side, discards what the caller still sends,
// and closes the connection once the caller closes its side or lingerTimeout
// passes.
func (c *callerConn) drainAndClose() {
	defer c.closeNow()
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if !ok || tcpConn.CloseWrite() != nil {
		return
	}
	_ = tcpConn.SetReadDeadline(c.listener.timer.WallTime().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcpConn)
}

// refuse answers a connection above the limit with an error and closes it.
func (c *callerConn) refuse() {
	kind := carobkind.Busy
	body := fmt.Sprintf("%s: the limit of %d connections is reached\n", kind, c.listener.limit)
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n"+
		"%s: %s\r\n%s: %s\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind.Status(), http.StatusText(kind.Status()), carobheader.Outcome, kind.Outcome(), carobheader.ErrorKind, kind,
		int(kind.RetryAfter()/time.Second), len(body), body)
	_ = c.SetWriteDeadline(c.listener.timer.WallTime().Add(lingerTimeout))
	_, _ = io.WriteString(c.Conn, response)
	c.linger.Store(true)
	_ = c.Close()
}

// trackState records whether a call of the connection is under way.
func trackState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.linger.Store(true)
	case fasthttp.StateIdle:
		c.linger.Store(false)
	}
}
