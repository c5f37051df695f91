// Package carobserver serves HTTP/1.1 on connections that are read while their
// requests are under way.
//
// The HTTP library's server reads a connection only between requests. It does
// not see a caller hang up before its answer is written, and serves pipelined
// requests one after the other. Here a goroutine reads the connection all the
// time: idempotent requests that come together run side by side and are answered
// in order, and a caller that is gone is noticed at once.
package carobserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobvisit"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// handler answers requests.
type handler interface {
	// Handle answers a visit. It runs on a goroutine of its own.
	Handle(v *carobvisit.Visit)
	// Reject fills in the answer to what could not be read as a request.
	Reject(rs *fasthttp.Response, err error)
}

// Config is how a server is made.
type Config struct {
	Handler handler
	Timer   *carobtimer.Timer
	// Header and Body are the longest header and body.
	Header, Body carobsize.Size
	// Head is how long the header of a request may take from its first byte, and
	// Stall how long the body may take, or the receiver of an answer.
	Head, Stall time.Duration
	// Idle is how long a connection may be unused.
	Idle time.Duration
	// Most is the most requests of one connection that run at once.
	Most int
}

// Server serves connections.
type Server struct {
	config Config
	mutex  sync.Mutex
	// listeners and conns are those open now.
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// draining says that connections are closed behind their answers.
	draining bool
	closed   bool
	running  sync.WaitGroup
}

// NewServer returns a server that does not listen yet.
func NewServer(c Config) *Server {
	return &Server{config: c, listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Close.
func (s *Server) Serve(ls net.Listener) error {
	s.mutex.Lock()
	s.listeners[ls] = struct{}{}
	s.mutex.Unlock()
	for {
		nc, err := ls.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		c := newConn(s, nc)
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		go c.run()
	}
}

// Drain has each connection closed behind the answers that are under way. The
// server goes on listening: callers may not know yet.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// Close stops listening, closes the connections and returns when they are done.
func (s *Server) Close(cx context.Context) {
	s.mutex.Lock()
	s.closed = true
	for ls := range s.listeners {
		_ = ls.Close()
	}
	for c := range s.conns {
		c.hurry()
	}
	s.mutex.Unlock()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-cx.Done():
	}
}

func (s *Server) add(c *conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
