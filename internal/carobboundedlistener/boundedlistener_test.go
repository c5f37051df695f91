package carobboundedlistener_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobboundedlistener"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobshedding"
)

const stallTimeout = 50 * time.Millisecond

// fixture is a listener with a limit of two connections.
type fixture struct {
	t        *testing.T
	listener net.Listener
	timer    *carobtimer.Timer
	reasons  map[string]int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fixture{t: t, timer: carobtimer.NewTimer(), reasons: map[string]int{}}
	go f.timer.Run(t.Context())
	f.listener = carobboundedlistener.NewBoundedListener(carobboundedlistener.Config{
		Listener: listener, Limit: 2, Timer: f.timer,
		Shedding: carobshedding.NewShedding(carobshedding.Config{StallTimeout: stallTimeout, ProgressSize: 10}),
		Count:    func(reason string) { f.reasons[reason]++ },
	})
	t.Cleanup(func() { _ = listener.Close() })
	return f
}

// dial returns both ends of a new connection.
func (f *fixture) dial() (client, server net.Conn) {
	f.t.Helper()
	client, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", f.listener.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = client.Close() })
	server, err = f.listener.Accept()
	require.NoError(f.t, err)
	return client, server
}

// requireOpen requires that bytes still pass, and requireClosed that the server has closed.
func requireOpen(t *testing.T, client, server net.Conn) {
	t.Helper()
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	require.NoError(t, err)
}

func requireClosed(t *testing.T, client net.Conn) {
	t.Helper()
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a crowd that holds all connections without a request, so that no heartbeat or readiness check gets through.
func TestStalledConnectionsYieldToNewOnes(t *testing.T) {
	f := newFixture(t)
	idleClient, idleServer := f.dial()
	stalled, _ := f.dial()
	requireOpen(t, idleClient, idleServer)
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout))
	client, server := f.dial()
	requireClosed(t, stalled)
	requireOpen(t, client, server)
	requireOpen(t, idleClient, idleServer)
	require.Equal(t, map[string]int{"stalled": 1}, f.reasons)
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout))
	requireOpen(t, idleClient, idleServer)
	third, _ := f.dial()
	requireClosed(t, client)
	_ = third
	require.Equal(t, map[string]int{"stalled": 1, "idle": 1}, f.reasons)
}

// Guards against closing a connection whose call is under way.
func TestHeldConnectionsStay(t *testing.T) {
	f := newFixture(t)
	first, firstServer := f.dial()
	second, secondServer := f.dial()
	var releases []func()
	for _, server := range []net.Conn{firstServer, secondServer} {
		holder, ok := server.(interface{ Hold() (release func()) })
		require.True(t, ok)
		releases = append(releases, holder.Hold())
	}
	requireOpen(t, first, firstServer)
	requireOpen(t, second, secondServer)
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout))
	refused, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = refused.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		server, _ := f.listener.Accept()
		accepted <- server
	}()
	requireClosed(t, refused)
	releases[1]()
	require.NoError(t, f.timer.Wait(t.Context(), stallTimeout))
	last, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = last.Close() }()
	require.NotNil(t, <-accepted)
	requireClosed(t, second)
	requireOpen(t, first, firstServer)
}
