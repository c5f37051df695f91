package test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// tcpProxy forwards TCP connections to a destination. Its open connections can be
// closed, or made to drop all further bytes while new connections work.
type tcpProxy struct {
	address  string
	listener net.Listener
	// destination is the address that new connections are forwarded to, a string.
	destination atomic.Value
	mu          sync.Mutex
	conns       []*proxiedConn
}

// proxiedConn is one connection through a tcpProxy.
type proxiedConn struct {
	client, server net.Conn
	// dropAll discards the bytes of both directions, dropResponses those from server
	// to client.
	dropAll, dropResponses atomic.Bool
}

// newTCPProxy starts a proxy without a destination, on a port that the kernel selects.
func newTCPProxy(t *testing.T) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{address: listener.Addr().String()}
	p.serve(listener)
	t.Cleanup(func() {
		p.stopListening()
		p.closeConns()
	})
	return p
}

// serve accepts connections in the background until the listener is closed.
func (p *tcpProxy) serve(listener net.Listener) {
	p.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.connect(conn)
		}
	}()
}

// stopListening makes the proxy's address refuse connections, until listenAgain.
func (p *tcpProxy) stopListening() { _ = p.listener.Close() }

// listenAgain closes the listener if it is open, and listens at the same address.
func (p *tcpProxy) listenAgain(t *testing.T) {
	t.Helper()
	p.stopListening()
	listener, err := net.Listen("tcp", p.address)
	require.NoError(t, err)
	p.serve(listener)
}

// connect opens a connection to the destination and forwards between it and client. If
// that fails it closes client.
func (p *tcpProxy) connect(client net.Conn) {
	destination, _ := p.destination.Load().(string)
	server, err := net.Dial("tcp", destination)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns = append(p.conns, conn)
	p.mu.Unlock()
	go conn.forward(server, client, false)
	go conn.forward(client, server, true)
}

// forward copies bytes in one direction until a read or write fails. It passes an
// end of file on as a half-close. Then both connections are closed, except after
// dropAll: there each end still sees an open connection that carries nothing.
func (c *proxiedConn) forward(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		dropped := c.dropAll.Load() || isResponse && c.dropResponses.Load()
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF && !dropped { //nolint:errorlint // readers return io.EOF itself
			if tcpConn, ok := to.(*net.TCPConn); ok {
				_ = tcpConn.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	if !c.dropAll.Load() {
		_, _ = c.client.Close(), c.server.Close()
	}
}

// forEach calls apply for all connections that were accepted so far.
func (p *tcpProxy) forEach(apply func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		apply(conn)
	}
}

// closeConns, dropBytes and dropResponses apply to the connections accepted so far.
func (p *tcpProxy) closeConns() {
	p.forEach(func(c *proxiedConn) { _, _ = c.client.Close(), c.server.Close() })
}
func (p *tcpProxy) dropBytes()     { p.forEach(func(c *proxiedConn) { c.dropAll.Store(true) }) }
func (p *tcpProxy) dropResponses() { p.forEach(func(c *proxiedConn) { c.dropResponses.Store(true) }) }
