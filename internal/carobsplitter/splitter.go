// Package carobsplitter lets calls and control messages share the peer address.
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

// preface is how every connection of control messages begins; no request line
// of HTTP/1.1 does.
const preface = "PRI "

// Config is how a splitter is made.
type Config struct {
	Listener net.Listener
	Timer    *carobtimer.Timer
	// Patience is how long a new connection may take to send its first bytes.
	Patience time.Duration
}

// Splitter accepts connections and sorts them by their first bytes.
type Splitter struct {
	config Config
	// Calls has the connections of calls, in HTTP/1.1.
	Calls net.Listener
	// Control has the connections of control messages, in HTTP/2.
	Control net.Listener
}

// NewSplitter returns a splitter that accepts nothing before Run.
func NewSplitter(c Config) *Splitter {
	address := c.Listener.Addr()
	return &Splitter{config: c, Calls: newQueue(address), Control: newQueue(address)}
}

// Run accepts connections until cx ends or the listener fails.
func (s *Splitter) Run(cx context.Context) {
	stop := context.AfterFunc(cx, func() { _ = s.config.Listener.Close() })
	defer stop()
	defer func() { _, _ = s.Calls.Close(), s.Control.Close() }()
	for {
		cn, err := s.config.Listener.Accept()
		if err != nil {
			return
		}
		go s.sort(cn)
	}
}

func (s *Splitter) sort(cn net.Conn) {
	reader := bufio.NewReader(cn)
	_ = cn.SetReadDeadline(s.config.Timer.Wall().Add(s.config.Patience))
	first, err := reader.Peek(len(preface))
	if err != nil {
		_ = cn.Close()
		return
	}
	_ = cn.SetReadDeadline(time.Time{})
	to := s.Calls
	if string(first) == preface {
		to = s.Control
	}
	to.(*queue).put(&peeked{Conn: cn, reader: reader}) //nolint:forcetypeassert // made by NewSplitter
}

// peeked is a connection whose first bytes wait in a buffer.
type peeked struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads the buffered bytes first.
func (p *peeked) Read(into []byte) (int, error) {
	return p.reader.Read(into)
}

// SyscallConn gives access to the file descriptor.
func (p *peeked) SyscallConn() (syscall.RawConn, error) {
	sc, ok := p.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return sc.SyscallConn()
}

// queue is a listener of the connections put into it.
type queue struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newQueue(address net.Addr) *queue {
	return &queue{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (q *queue) put(cn net.Conn) {
	select {
	case q.conns <- cn:
	case <-q.done:
		_ = cn.Close()
	}
}

// Accept waits for the next connection.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case cn := <-q.conns:
		return cn, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

// Close ends the queue.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.done) })
	return nil
}

// Addr returns the address that the connections came to.
func (q *queue) Addr() net.Addr {
	return q.address
}
