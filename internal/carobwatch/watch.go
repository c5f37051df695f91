// Package carobwatch notices when the other end of a connection has hung up
// while nothing is read from it.
//
// The HTTP library reads a connection only between calls, so that it does not
// see a caller go while its call is under way. The watch asks the kernel whether
// the other end has closed its side, which needs no read: neither the bytes that
// wait on the connection nor its deadlines are touched.
package carobwatch

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Config is how a watch is made.
type Config struct {
	Timer *carobtimer.Timer
	// Period is the time between two looks at the connections watched.
	Period time.Duration
}

// Watch looks at connections while there are any to watch.
type Watch struct {
	config Config
	alarm  func(at carobinstant.Instant)
	mutex  sync.Mutex
	// entries are the connections watched.
	entries map[*entry]struct{}
}

type entry struct {
	raw  syscall.RawConn
	gone func()
}

// NewWatch returns a watch of nothing.
func NewWatch(c Config) *Watch {
	w := &Watch{config: c, entries: map[*entry]struct{}{}}
	w.alarm = c.Timer.Subscribe(w.look)
	return w
}

// Add watches a connection until remove is called or the other end is found to
// have hung up. gone is then called once; it must not block. A connection that
// does not show its file descriptor is not watched.
func (w *Watch) Add(cn net.Conn, gone func()) (remove func()) {
	sc, ok := cn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	e := &entry{raw: raw, gone: gone}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.entries[e] = struct{}{}
	if len(w.entries) == 1 {
		w.alarm(w.config.Timer.Now().Add(w.config.Period))
	}
	return func() { w.remove(e) }
}

func (w *Watch) remove(e *entry) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.entries, e)
}

// look asks after all connections. It runs on the timer's goroutine.
func (w *Watch) look() {
	for _, e := range w.collect() {
		e.gone()
	}
}

// collect takes out the connections whose other end is gone.
func (w *Watch) collect() []*entry {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var gone []*entry
	for e := range w.entries {
		if hungUp(e.raw) {
			gone = append(gone, e)
			delete(w.entries, e)
		}
	}
	if len(w.entries) > 0 {
		w.alarm(w.config.Timer.Now().Add(w.config.Period))
	}
	return gone
}

// hungUp reports whether the other end has closed its side, or the connection is
// broken or closed here.
func hungUp(raw syscall.RawConn) bool {
	const over = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	gone := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // descriptors are small
		n, errPoll := unix.Poll(fds, 0)
		gone = errPoll == nil && n > 0 && fds[0].Revents&over != 0
	})
	return err != nil || gone
}
