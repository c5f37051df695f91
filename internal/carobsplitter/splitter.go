// Package carobsplitter lets the attempts and the control messages of other nodes share
// the peer address. It detects the protocol of each connection by its first bytes.
package carobsplitter

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/carobknot/carobknot/internal/carobtimer"
)

// preface is the start of the HTTP/2 connection preface, with which every connection
// of control messages begins. No request line of HTTP/1.1 begins with it.
const preface = "PRI "

// Config holds the parameters of a splitter.
type Config struct {
	// Listener accepts the connections at the peer address.
	Listener net.Listener
	Timer    *carobtimer.Timer
	// DetectionTimeout is how long a new connection may take to send its first bytes.
	// It is closed afterwards.
	DetectionTimeout time.Duration
}

// Splitter accepts connections and passes each to the listener of its protocol.
type Splitter struct {
	config Config
	// AttemptListener accepts the connections for attempts, which use HTTP/1.1.
	AttemptListener net.Listener
	// ControlListener accepts the connections for control messages, which use HTTP/2.
	ControlListener net.Listener
}

// NewSplitter returns a splitter. It accepts no connections before Run.
func NewSplitter(c Config) *Splitter {
	address := c.Listener.Addr()
	return &Splitter{config: c, AttemptListener: newQueueListener(address), ControlListener: newQueueListener(address)}
}

// Run accepts connections until ctx ends or the listener fails, and then closes
// AttemptListener and ControlListener.
func (s *Splitter) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.config.Listener.Close() })
	defer stop()
	defer func() { _, _ = s.AttemptListener.Close(), s.ControlListener.Close() }()
	for {
		conn, err := s.config.Listener.Accept()
		if err != nil {
			return
		}
		go s.dispatch(conn)
	}
}

// dispatch detects the protocol of a connection and passes the connection to the
// listener for it. It closes a connection that does not send enough bytes in time.
func (s *Splitter) dispatch(conn net.Conn) {
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(s.config.Timer.WallTime().Add(s.config.DetectionTimeout))
	firstBytes, err := reader.Peek(len(preface))
	if err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	listener := s.AttemptListener
	if string(firstBytes) == preface {
		listener = s.ControlListener
	}
	listener.(*queueListener).put(&bufferedConn{Conn: conn, reader: reader}) //nolint:forcetypeassert // made by NewSplitter
}

// bufferedConn is a connection whose first bytes have been read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns the buffered bytes first.
func (c *bufferedConn) Read(into []byte) (int, error) {
	return c.reader.Read(into)
}

// SyscallConn gives access to the file descriptor, by which disconnects are detected.
// The error is net.ErrClosed if the connection has none.
func (c *bufferedConn) SyscallConn() (syscall.RawConn, error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return syscallConn.SyscallConn()
}

// Hold keeps the connection from yielding while a call on it is under way, until release
// is called, if its listener bounds its connections.
func (c *bufferedConn) Hold() (release func()) {
	if holder, ok := c.Conn.(interface{ Hold() (release func()) }); ok {
		return holder.Hold()
	}
	return func() {}
}

// queueListener is a net.Listener that returns the connections put into it.
type queueListener struct {
	address net.Addr
	conns   chan net.Conn
	// closed is closed by Close.
	closed chan struct{}
	once   sync.Once
}

func newQueueListener(address net.Addr) *queueListener {
	return &queueListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// put waits until Accept takes the connection, and closes it if the queue is closed.
func (l *queueListener) put(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept waits for the next connection. It returns net.ErrClosed after Close.
func (l *queueListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *queueListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address at which the connections were accepted.
func (l *queueListener) Addr() net.Addr {
	return l.address
}
