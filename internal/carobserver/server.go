// Package carobserver is an HTTP/1.1 server that reads connections while their
// requests are being handled.
//
// The HTTP library's server reads a connection only between requests. It does not
// detect that a caller disconnects before its answer is written, and handles
// pipelined requests one after the other. Here one goroutine reads the connection
// all the time: pipelined idempotent requests run concurrently and are answered
// in order, and a disconnect is detected at once.
package carobserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobconnectiontable"
	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// handler handles requests.
type handler interface {
	// Handle answers a request. It runs on a goroutine of its own.
	Handle(pipelined *carobpipelinedrequest.PipelinedRequest)
	// Reject fills in the response to bytes that could not be read as a request.
	Reject(resp *fasthttp.Response, err error)
}

// Config holds the parameters of a Server.
type Config struct {
	Handler handler
	Timer   *carobtimer.Timer
	// MaxHeader and MaxBody are the maximum sizes of a request's header and body.
	MaxHeader, MaxBody carobsize.Size
	// HeaderTimeout is the maximum time from the first byte of a request to the end of
	// its header. StallTimeout is the maximum time to read a body, and to wait for the
	// receiver of an answer to accept bytes.
	HeaderTimeout, StallTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may have no request.
	IdleTimeout time.Duration
	// MaxPipelined is the maximum number of requests of one connection that run
	// concurrently.
	MaxPipelined int
	// MaxConnections is the number of open connections from which on a new one closes
	// those that have been idle for longest. If none is idle, its first request is rejected
	// with the kind Busy. Connections beyond it by more than an eighth are closed at once.
	// 0 means no limit.
	MaxConnections int
	// Connections has the connections and their memory; nil means no limit.
	Connections *carobconnectiontable.ConnectionTable
}

// Server accepts connections and serves the requests on them.
type Server struct {
	config Config
	mutex  sync.Mutex
	// listeners and conns are those that are open.
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// draining is true if connections close after their pending answers.
	draining bool
	closed   bool
	running  sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(c Config) *Server {
	return &Server{config: c, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Close. It returns nil after Close, and the
// listener's error otherwise.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listeners[listener] = struct{}{}
	s.mutex.Unlock()
	for {
		netConn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		c := newConn(s, netConn)
		if !s.add(c) {
			_ = netConn.Close()
			continue
		}
		go c.run()
	}
}

// Drain makes each connection close after its pending answers. The server still
// accepts connections, because callers that have not noticed the shutdown yet open
// new ones.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// Close stops listening, closes each connection after its pending answers, and
// returns when all are closed or ctx ends.
func (s *Server) Close(ctx context.Context) {
	s.mutex.Lock()
	s.closed = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for c := range s.conns {
		c.shutdown()
	}
	s.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// add records a connection. It returns false if the server is closed, or if it has no
// room for the connection at all.
func (s *Server) add(c *conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || !s.makeRoom(c) {
		return false
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	c.open()
	return true
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.config.Connections.Close(c.id)
	delete(s.conns, c)
	s.running.Done()
}

func (s *Server) isDraining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}
