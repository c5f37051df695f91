package carobpool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carobknot/carobknot/pkg/carobaddress"
)

// sweepInterval is the time between two searches for idle connections that cannot be used
// any more.
const sweepInterval = time.Second

// get returns an idle connection or opens one. Idle connections that cannot be used
// any more are closed.
func (p *Pool) get(ctx context.Context, address carobaddress.Address, nonIdempotent bool) (*pooledConn, error) {
	for {
		conn := p.pop(address)
		if conn == nil {
			return p.open(ctx, address)
		}
		age := p.config.Timer.Now().Sub(conn.lastUsed)
		if age < conn.idleTimeout && isReusable(conn) {
			if nonIdempotent && p.config.MaxReuseAge > 0 && age > p.config.MaxReuseAge {
				p.replaceOldest(conn)
				return p.open(ctx, address)
			}
			return conn, nil
		}
		_ = conn.Close()
	}
}

// pop removes and returns the most recently used idle connection to an address, or
// nil if there is none.
func (p *Pool) pop(address carobaddress.Address) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.setIdle(address, idle[:len(idle)-1])
	return conn
}

// put returns a connection to the pool after an exchange.
func (p *Pool) put(conn *pooledConn) {
	conn.lastUsed = p.config.Timer.Now()
	_ = conn.SetDeadline(time.Time{})
	p.addIdle(conn)
}

// replaceOldest puts a connection back that is too old for a request, and closes the least
// recently used one to its address: the one that is opened instead would otherwise add to
// the idle connections each time.
func (p *Pool) replaceOldest(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := append(p.idle[conn.address], conn)
	_ = idle[0].Close()
	p.setIdle(conn.address, slices.Delete(idle, 0, 1))
}

// addIdle keeps a connection for a later exchange. Beyond Config.MaxIdleConns the
// connection is closed, and beyond Config.MaxIdleTotal the least recently used one to any
// address.
func (p *Pool) addIdle(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.address]
	if len(idle) >= p.config.MaxIdleConns {
		_ = conn.Close()
		return
	}
	if p.config.MaxIdleTotal > 0 && p.total >= p.config.MaxIdleTotal {
		p.closeLeastRecentlyUsed()
	}
	p.setIdle(conn.address, append(p.idle[conn.address], conn))
	if !p.sweeping {
		p.sweeping = true
		p.sweepAt(p.config.Timer.Now().Add(sweepInterval))
	}
}

// setIdle replaces the idle connections to an address. The caller holds the mutex.
func (p *Pool) setIdle(address carobaddress.Address, idle []*pooledConn) {
	p.total += len(idle) - len(p.idle[address])
	if len(idle) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = idle
}

// closeLeastRecentlyUsed closes the idle connection that has been idle for longest. The
// caller holds the mutex.
func (p *Pool) closeLeastRecentlyUsed() {
	var oldest *pooledConn
	for _, idle := range p.idle {
		if oldest == nil || idle[0].lastUsed < oldest.lastUsed {
			oldest = idle[0]
		}
	}
	_ = oldest.Close()
	p.setIdle(oldest.address, slices.Delete(p.idle[oldest.address], 0, 1))
}

// sweep closes the idle connections that cannot be used any more, on the timer's
// goroutine. It is due as long as there are idle connections.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnusable()
	p.sweeping = p.total > 0
	if p.sweeping {
		p.sweepAt(p.config.Timer.Now().Add(sweepInterval))
	}
}

// closeUnusable closes the idle connections whose time-out has passed, that the peer has
// closed, or on which bytes arrived without a request. The caller holds the mutex, so that
// no idle connection is closed elsewhere and its descriptor reused meanwhile.
func (p *Pool) closeUnusable() {
	events := p.pollIdle()
	now := p.config.Timer.Now()
	for address, idle := range p.idle {
		kept := make([]*pooledConn, 0, len(idle))
		for _, conn := range idle {
			if now.Sub(conn.lastUsed) >= conn.idleTimeout || events[conn.fd] {
				_ = conn.Close()
				continue
			}
			kept = append(kept, conn)
		}
		p.setIdle(address, kept)
	}
}

// pollIdle returns the descriptors of the idle connections that the peer has closed or
// that have bytes to read. It asks the kernel once for all of them.
func (p *Pool) pollIdle() map[int32]bool {
	fds := make([]unix.PollFd, 0, p.total)
	for _, idle := range p.idle {
		for _, conn := range idle {
			fds = append(fds, unix.PollFd{Fd: conn.fd, Events: unix.POLLIN | unix.POLLRDHUP})
		}
	}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return nil
	}
	events := map[int32]bool{}
	for _, fd := range fds {
		if fd.Revents != 0 {
			events[fd.Fd] = true
		}
	}
	return events
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address carobaddress.Address) (*pooledConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", string(address))
	if isShortage(err) {
		// The descriptors of idle connections to other addresses are free then.
		p.CloseIdle()
		conn, err = p.dialer.DialContext(ctx, "tcp", string(address))
	}
	if err != nil {
		return nil, err
	}
	return &pooledConn{
		Conn: conn, address: address, fd: descriptorOf(conn), idleTimeout: p.config.IdleTimeout,
		reader: bufio.NewReaderSize(conn, max(p.config.MaxHeader, minReadBufferSize)), writer: bufio.NewWriterSize(conn, writeBufferSize),
	}, nil
}

// isShortage reports whether an error means that descriptors are short.
func isShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// descriptorOf returns the file descriptor of a connection; -1, which polls ignore, if it
// has none.
func descriptorOf(conn net.Conn) int32 {
	descriptor := int32(-1)
	if syscallConn, ok := conn.(syscall.Conn); ok {
		if raw, err := syscallConn.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { descriptor = int32(fd) }) //nolint:gosec // descriptors are small
		}
	}
	return descriptor
}

// CloseIdle closes the idle connections and returns their number.
func (p *Pool) CloseIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	closed := p.total
	for address, idle := range p.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
		p.setIdle(address, nil)
	}
	return closed
}
