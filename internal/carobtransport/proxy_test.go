package carobtransport_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
)

// silentProxy forwards connections to an address, and can stop forwarding on those that are
// open without closing them.
type silentProxy struct {
	listener net.Listener
	to       string
	// opened is the number of connections, and forwarded the number of bytes.
	opened, forwarded atomic.Int64
	// silenced is the number of connections, the oldest first, that forward nothing any more.
	silenced atomic.Int64
}

func newSilentProxy(t *testing.T, to string) *silentProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{listener: listener, to: to}
	t.Cleanup(func() { _ = listener.Close() })
	go p.accept(t.Context())
	return p
}

func (p *silentProxy) address() carobaddress.Address {
	return carobaddress.Address(p.listener.Addr().String())
}

// silence stops forwarding on the connections that are open.
func (p *silentProxy) silence() { p.silenced.Store(p.opened.Load()) }

func (p *silentProxy) accept(ctx context.Context) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.to)
		if err != nil {
			_ = in.Close()
			return
		}
		number := p.opened.Add(1)
		go p.forward(number, in, out)
		go p.forward(number, out, in)
	}
}

// forward copies bytes in one direction until the sender closes its connection.
func (p *silentProxy) forward(number int64, from io.ReadCloser, to io.WriteCloser) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if number <= p.silenced.Load() {
			continue
		}
		p.forwarded.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
