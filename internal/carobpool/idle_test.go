package carobpool

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobaddress"
)

// idleConns returns the number of idle connections of a pool.
func idleConns(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(entries)
}

// Guards against descriptors that grow with each server that a release removes: the server closes its connections, and no request to its address follows that would find out.
func TestConnectionsToRemovedServersAreClosed(t *testing.T) {
	p := newPool(t, nil)
	before := openDescriptors(t)
	for range 300 {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		test := &testServer{address: carobaddress.Address(listener.Addr().String())}
		_, _, err = roundTrip(t, p, test, newRequest(fasthttp.MethodGet, "/"))
		require.NoError(t, err)
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	}
	require.Eventually(t, func() bool { return idleConns(p) == 0 && openDescriptors(t) <= before+2 }, 20*time.Second, 10*time.Millisecond,
		"descriptors are as many as before")
	require.Empty(t, p.idle, "no entry is left for an address")
}

// Guards against idle connections that stay open until a request to their address finds that their time-out has passed.
func TestIdleConnectionsAreClosedAfterTheirTimeout(t *testing.T) {
	server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool { return respond(conn, "x") })
	p := newPool(t, func(c *Config) { c.IdleTimeout = 50 * time.Millisecond })
	_, _, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return idleConns(p) == 0 }, 20*time.Second, 10*time.Millisecond)
}

// Guards against connections that pile up in calm, because each request that must not run twice puts an idle connection back and opens another one.
func TestRequestsThatNeedANewConnectionDoNotAddIdleOnes(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		respondWithID(conn, req.Header.Get(idHeader), "x")
		return true
	})
	p := newPool(t, func(c *Config) { c.MaxReuseAge = time.Nanosecond })
	for i := range 50 {
		_, err := fetch(t, p, server, fmt.Sprint(i), true)
		require.NoError(t, err)
		require.Equal(t, 1, idleConns(p))
	}
	require.Equal(t, int64(50), server.opened.Load(), "each request gets a new connection")
}

// Guards against idle connections to many addresses that take all descriptors, although those to each address are few.
func TestIdleConnectionsToAllAddressesAreBounded(t *testing.T) {
	p := newPool(t, func(c *Config) { c.MaxIdleTotal = 3 })
	var servers []*testServer
	for range 8 {
		server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool { return respond(conn, "x") })
		servers = append(servers, server)
		_, _, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/"))
		require.NoError(t, err)
		require.LessOrEqual(t, idleConns(p), 3)
	}
	for i, server := range servers {
		require.Equal(t, i >= 5, len(p.idle[server.address]) == 1, "the three used last are kept")
	}
}
