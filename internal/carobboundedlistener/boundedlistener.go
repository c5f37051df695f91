// Package carobboundedlistener provides a listener that bounds its open connections.
//
// When a new connection exceeds the limit, one of the others yields, in the order that
// carobshedding decides: first one whose client stalls before its first response, then the
// one that is idle for longest. So clients that only hold connections can not keep out
// heartbeats, readiness checks and other nodes.
package carobboundedlistener

import (
	"net"
	"sync"
	"syscall"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobconnection"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// shedding decides which connections yield.
type shedding interface {
	Receive(now carobinstant.Instant, row *carobconnection.Connection, size carobsize.Size)
	Closed(now carobinstant.Instant, rows []carobconnection.Connection, needed carobsize.Size) []carobconnectionid.ID
}

// Config holds the parameters of a BoundedListener.
type Config struct {
	Listener net.Listener
	// Limit is the maximum number of open connections.
	Limit    int
	Shedding shedding
	Timer    *carobtimer.Timer
	// Count counts connections that yielded, by reason. It may be nil.
	Count func(reason string)
}

// BoundedListener is a listener with a limited number of open connections.
type BoundedListener struct {
	config Config
	mutex  sync.Mutex
	// conns has the open connections.
	conns  map[carobconnectionid.ID]*conn
	newest carobconnectionid.ID
}

// conn is an open connection. Its row is guarded by the listener's mutex. Each connection
// counts as one byte, so that the decision is about their number.
type conn struct {
	net.Conn
	listener *BoundedListener
	row      carobconnection.Connection
	once     sync.Once
}

// NewBoundedListener returns a listener without connections.
func NewBoundedListener(c Config) *BoundedListener {
	return &BoundedListener{config: c, conns: map[carobconnectionid.ID]*conn{}}
}

// Accept waits for the next connection for which there is room.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.config.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// Close closes the listener. Its connections stay open.
func (l *BoundedListener) Close() error {
	return l.config.Listener.Close()
}

// Addr returns the address of the listener.
func (l *BoundedListener) Addr() net.Addr {
	return l.config.Listener.Addr()
}

// add makes room for a connection and adds it. It returns nil if there is no room.
func (l *BoundedListener) add(accepted net.Conn) *conn {
	l.mutex.Lock()
	now := l.config.Timer.Now()
	var yielding *conn
	if len(l.conns) >= l.config.Limit {
		if yielding = l.yielding(now); yielding == nil {
			l.mutex.Unlock()
			l.count("connections")
			return nil
		}
		delete(l.conns, yielding.row.ID)
	}
	l.newest++
	added := &conn{Conn: accepted, listener: l, row: carobconnection.Connection{
		ID: l.newest, Held: 1, Receiving: true, BeganAt: now, ProgressAt: now,
	}}
	l.conns[l.newest] = added
	l.mutex.Unlock()
	if yielding != nil {
		l.count(yielding.reason())
		_ = yielding.Close()
	}
	return added
}

// yielding returns the connection that yields; nil if there is none. The mutex is held.
func (l *BoundedListener) yielding(now carobinstant.Instant) *conn {
	rows := make([]carobconnection.Connection, 0, len(l.conns))
	for _, c := range l.conns {
		rows = append(rows, c.row)
	}
	closed := l.config.Shedding.Closed(now, rows, 1)
	if len(closed) == 0 {
		return nil
	}
	return l.conns[closed[0]]
}

func (l *BoundedListener) count(reason string) {
	if l.config.Count != nil {
		l.config.Count(reason)
	}
}

// reason returns the reason for which the connection yields.
func (c *conn) reason() string {
	if c.row.Receiving {
		return "stalled"
	}
	return "idle"
}

// Read reads from the connection, and records that its client makes progress.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.update(func(now carobinstant.Instant) {
		c.row.BeganAt = now
		c.listener.config.Shedding.Receive(now, &c.row, carobsize.Size(n))
	})
	return n, err
}

// Write writes to the connection, which is idle from then on unless it is held.
func (c *conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.update(func(now carobinstant.Instant) { c.row.Receiving, c.row.BeganAt = false, now })
	return n, err
}

// Hold keeps the connection from yielding while a call on it is under way, until release
// is called.
func (c *conn) Hold() (release func()) {
	c.update(func(carobinstant.Instant) { c.row.Pending++ })
	return func() {
		c.update(func(now carobinstant.Instant) {
			c.row.Pending--
			c.row.BeganAt = now
		})
	}
}

// update changes the row.
func (c *conn) update(change func(now carobinstant.Instant)) {
	now := c.listener.config.Timer.Now()
	c.listener.mutex.Lock()
	defer c.listener.mutex.Unlock()
	change(now)
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mutex.Lock()
		defer c.listener.mutex.Unlock()
		delete(c.listener.conns, c.row.ID)
	})
	return c.Conn.Close()
}

// SyscallConn gives access to the file descriptor, by which disconnects are detected.
// The error is net.ErrClosed if the connection has none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return syscallConn.SyscallConn()
}
