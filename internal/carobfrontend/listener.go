package carobfrontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
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
	conns *callerConns
}

// Accept waits for the next connection below the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &callerConn{Conn: conn, conns: l.conns, openedAt: l.conns.timer.WallTime()}
		if l.conns.add(c) {
			return c, nil
		}
		c.refuse()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	conns    *callerConns
	openedAt time.Time
	once     sync.Once
	mutex    sync.Mutex
	// active is true from the first byte of a call until its response has been sent: if the
	// connection closes then, the caller may still be sending. It and the fields below are
	// guarded by mutex.
	active bool
	// used is true once the connection has had a call.
	used bool
	// stopping is true once the connection is to close as soon as it has no call.
	stopping bool
}

// stop makes the connection close as soon as it has no call.
func (c *callerConn) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopping = true
	if !c.active {
		_ = c.Conn.SetReadDeadline(c.closesAt())
	}
}

// closesAt returns until when the connection waits for a call at a stop. The mutex is held.
func (c *callerConn) closesAt() time.Time {
	if !c.used {
		return c.openedAt.Add(firstCallTimeout)
	}
	return c.conns.timer.WallTime().Add(behindTimeout)
}

// SetReadDeadline sets the read deadline. At a stop, a connection waits no longer for a call
// than closesAt says.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping && !c.active {
		deadline = c.closesAt()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// begin records that the first byte of a call has arrived.
func (c *callerConn) begin() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.used = true, true
	if c.stopping {
		_ = c.Conn.SetReadDeadline(c.conns.timer.WallTime().Add(c.conns.headerTimeout))
	}
}

// finish records that the response to a call has been sent.
func (c *callerConn) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = false
}

// lingers reports whether the caller may be sending while the connection closes.
func (c *callerConn) lingers() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active || c.stopping && c.used
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

// Close closes the connection. If the caller may be sending, it does so in the background,
// once the caller has had time to read the response.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if c.lingers() {
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
	c.conns.remove(c)
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
	_ = tcpConn.SetReadDeadline(c.conns.timer.WallTime().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcpConn)
}

// refuse answers a connection above the limit with an error and closes it.
func (c *callerConn) refuse() {
	kind := carobkind.Busy
	body := fmt.Sprintf("%s: the limit of %d connections is reached\n", kind, c.conns.limit)
	response := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n"+
		"%s: %s\r\n%s: %s\r\nRetry-After: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind.Status(), http.StatusText(kind.Status()), carobheader.Outcome, kind.Outcome(), carobheader.ErrorKind, kind,
		int(kind.RetryAfter()/time.Second), len(body), body)
	_ = c.SetWriteDeadline(c.conns.timer.WallTime().Add(lingerTimeout))
	_, _ = io.WriteString(c.Conn, response)
	c.begin()
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
		c.begin()
	case fasthttp.StateIdle:
		c.finish()
	}
}
