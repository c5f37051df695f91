package carobserver

import (
	"cmp"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

const (
	// idleBatch is the part of Config.MaxConnections that is closed at once when the limit
	// is reached, as a divisor. A batch bounds how often idle connections are searched for.
	idleBatch = 16
	// refusedShare is the part of Config.MaxConnections, as a divisor, by which connections
	// may exceed it while their first request is rejected.
	refusedShare = 8
)

// CloseIdle closes the connections that have no request.
func (s *Server) CloseIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closeIdle(len(s.conns))
}

// makeRoom closes idle connections if the limit is reached by a new one. If none is idle,
// the new one is to reject its request. It returns false if there is no room even for
// that. The caller holds the mutex.
func (s *Server) makeRoom(c *conn) bool {
	limit := s.config.MaxConnections
	if limit == 0 || len(s.conns) < limit {
		return true
	}
	if len(s.conns) >= limit+limit/refusedShare {
		return false
	}
	c.refused = !s.closeIdle(max(1, limit/idleBatch))
	return true
}

// closeIdle closes up to count connections that have no request, those idle for longest
// first. It reports whether it closed any. The caller holds the mutex.
func (s *Server) closeIdle(count int) bool {
	var idle []idleConn
	for c := range s.conns {
		if since, ok := c.idleFrom(); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return cmp.Compare(a.since, b.since) })
	closed := false
	for _, entry := range idle[:min(count, len(idle))] {
		if entry.conn.closeIfIdle() {
			delete(s.conns, entry.conn)
			closed = true
		}
	}
	return closed
}

// idleConn is a connection that had no request when it was looked at, and since when.
type idleConn struct {
	conn  *conn
	since carobinstant.Instant
}

// idleFrom returns since when the connection has no request. It returns false if it has
// one or is closing.
func (c *conn) idleFrom() (carobinstant.Instant, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idleSince, len(c.pending) == 0 && !c.reading && !c.closing
}

// closeIfIdle closes the connection and frees its descriptor at once. It returns false if a
// request has begun.
func (c *conn) closeIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.pending) > 0 || c.reading || c.closing {
		return false
	}
	c.closing, c.final = true, true
	_ = c.Close()
	return true
}
