package carobacceptor_test

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobacceptor"
	"github.com/carobknot/carobknot/internal/carobtimer"
)

// failingListener fails with the given errors, one each Accept, before it accepts.
type failingListener struct {
	net.Listener
	errors chan error
}

func (l *failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	default:
		return l.Listener.Accept()
	}
}

// newAcceptor returns an acceptor whose listener first fails with the given errors, and
// the number of calls of Relieve.
func newAcceptor(t *testing.T, errors ...error) (*carobacceptor.Acceptor, *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: listener, errors: make(chan error, len(errors))}
	for _, err := range errors {
		failing.errors <- err
	}
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	relieved := &atomic.Int64{}
	acceptor := carobacceptor.NewAcceptor(carobacceptor.Config{
		Listener: failing, Timer: timer, Logger: logrus.NewEntry(logger), Name: "calls", Relieve: func() { relieved.Add(1) },
	})
	t.Cleanup(func() { _ = acceptor.Close() })
	return acceptor, relieved
}

// TestAcceptOutlivesPassingErrors guards against a process that ends because descriptors
// were short for a moment, or because a caller reset its connection.
func TestAcceptOutlivesPassingErrors(t *testing.T) {
	acceptor, relieved := newAcceptor(t,
		os.NewSyscallError("accept4", syscall.EMFILE), os.NewSyscallError("accept4", syscall.ECONNABORTED), os.NewSyscallError("accept4", syscall.ENFILE))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", acceptor.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := acceptor.Accept()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
	require.Equal(t, int64(2), relieved.Load(), "only a shortage of descriptors is relieved")
}

// TestAcceptReturnsLastingErrors guards against a server that hangs on a listener that
// cannot be used any more.
func TestAcceptReturnsLastingErrors(t *testing.T) {
	acceptor, _ := newAcceptor(t, syscall.EBADF)
	_, err := acceptor.Accept()
	require.ErrorIs(t, err, syscall.EBADF)
	require.NoError(t, acceptor.Close())
	_, err = acceptor.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
