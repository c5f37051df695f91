// Package carobdisconnectwatch detects that the other end of a connection has
// disconnected while nothing is read from it.
//
// The HTTP library reads a connection only between calls, so it does not detect
// a disconnect during a call. The watch polls the kernel for the state of the
// connection. This needs no read, so neither received bytes nor deadlines are
// affected.
package carobdisconnectwatch

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Config holds the parameters of a DisconnectWatch.
type Config struct {
	Timer *carobtimer.Timer
	// PollInterval is the time between two polls of the watched connections.
	PollInterval time.Duration
}

// DisconnectWatch polls connections as long as there are any to watch.
type DisconnectWatch struct {
	config Config
	// wakeAt sets when the timer calls check next.
	wakeAt func(at carobinstant.Instant)
	mutex  sync.Mutex
	// conns holds the watched connections. It is guarded by mutex.
	conns map[*watchedConn]struct{}
}

// watchedConn is a watched connection and the function to call when it is
// disconnected.
type watchedConn struct {
	raw          syscall.RawConn
	onDisconnect func()
}

// NewDisconnectWatch returns a watch without connections.
func NewDisconnectWatch(c Config) *DisconnectWatch {
	w := &DisconnectWatch{config: c, conns: map[*watchedConn]struct{}{}}
	w.wakeAt = c.Timer.Subscribe(w.check)
	return w
}

// Add watches a connection until remove is called or a disconnect is detected.
// After a disconnect, onDisconnect is called once, on the timer's goroutine; it
// must not block. A connection without an accessible file descriptor is not
// watched.
func (w *DisconnectWatch) Add(conn net.Conn, onDisconnect func()) (remove func()) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return func() {}
	}
	watched := &watchedConn{raw: raw, onDisconnect: onDisconnect}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.conns[watched] = struct{}{}
	if len(w.conns) == 1 {
		w.wakeAt(w.config.Timer.Now().Add(w.config.PollInterval))
	}
	return func() { w.remove(watched) }
}

func (w *DisconnectWatch) remove(watched *watchedConn) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.conns, watched)
}

// check polls all connections and reports those that are disconnected. It runs on
// the timer's goroutine.
func (w *DisconnectWatch) check() {
	for _, watched := range w.takeDisconnected() {
		watched.onDisconnect()
	}
}

// takeDisconnected removes the disconnected connections and returns them.
func (w *DisconnectWatch) takeDisconnected() []*watchedConn {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var disconnected []*watchedConn
	for watched := range w.conns {
		if isDisconnected(watched.raw) {
			disconnected = append(disconnected, watched)
			delete(w.conns, watched)
		}
	}
	if len(w.conns) > 0 {
		w.wakeAt(w.config.Timer.Now().Add(w.config.PollInterval))
	}
	return disconnected
}

// isDisconnected reports whether the other end has closed its sending side, or
// the connection is broken or was closed by this node.
func isDisconnected(raw syscall.RawConn) bool {
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	disconnected := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // descriptors are small
		n, pollErr := unix.Poll(fds, 0)
		disconnected = pollErr == nil && n > 0 && fds[0].Revents&closedEvents != 0
	})
	return err != nil || disconnected
}
