package carobfrontend

import (
	"net"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobtimer"
)

const (
	// behindTimeout is how long a connection without a call is still read at a stop: a client
	// may have sent one behind the last response, or it may be on its way.
	behindTimeout = 10 * time.Millisecond
	// firstCallTimeout is how long after its opening a connection that has had no call is
	// kept at a stop.
	firstCallTimeout = 5 * time.Second
)

// callerConns are the open connections of callers.
type callerConns struct {
	timer *carobtimer.Timer
	// limit is the maximum number of open connections.
	limit int
	// headerTimeout is the timeout for receiving the header of a call.
	headerTimeout time.Duration
	mutex         sync.Mutex
	// listener is where callers connect; nil before listen. It and the fields below are
	// guarded by mutex.
	listener net.Listener
	open     map[*callerConn]struct{}
	// stopping is true once connections are to close behind their next response.
	stopping bool
	// ended is closed once stopping is true and no connection is open.
	ended chan struct{}
}

// listen records the listener that stop closes. It returns false after stop.
func (c *callerConns) listen(listener net.Listener) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listener = listener
	return !c.stopping
}

// add records an accepted connection. It reports false if the limit is exceeded, so that the
// connection is to be refused.
func (c *callerConns) add(conn *callerConn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[conn] = struct{}{}
	if c.stopping {
		conn.stop()
	}
	return len(c.open) <= c.limit
}

// remove records that a connection is closed.
func (c *callerConns) remove(conn *callerConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, conn)
	c.end()
}

// stop closes the listener and the connections without a call, and lets the others close behind
// their last response. Only its first call has an effect.
func (c *callerConns) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopping {
		return
	}
	c.stopping = true
	if c.listener != nil {
		_ = c.listener.Close()
	}
	for conn := range c.open {
		conn.stop()
	}
	c.end()
}

// end closes ended if there is nothing left to wait for. The mutex is held.
func (c *callerConns) end() {
	if !c.stopping || len(c.open) > 0 {
		return
	}
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
}

func (c *callerConns) isStopping() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stopping
}
