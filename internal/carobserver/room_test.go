package carobserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobserver"
)

// Guards against a process whose descriptors are used up by callers' idle connections. A connection with a request under way stays.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	const limit = 32
	f := newFixtureWith(t, func(c *carobserver.Config) { c.MaxConnections = limit })
	f.get("/busy")
	require.Equal(t, "/busy", <-f.handler.arrived)
	busyReader := f.reader
	var idle []net.Conn
	for range 4 * limit {
		f.dial()
		f.get("/x")
		require.Equal(t, "/x", <-f.handler.arrived)
		f.handler.release("/x") <- struct{}{}
		resp, err := http.ReadResponse(f.reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, "the request on a new connection is served")
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		idle = append(idle, f.conn)
	}
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection that was idle for longest ends without a reset")
	close(f.handler.release("/busy"))
	resp, err := http.ReadResponse(busyReader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}

// Guards against connections beyond the limit that get no response although the server knows at once that it cannot serve them.
func TestRequestsBeyondTheLimitAreRejectedAtOnce(t *testing.T) {
	f := newFixtureWith(t, func(c *carobserver.Config) { c.MaxConnections = 8 })
	for i := range 8 {
		if i > 0 {
			f.dial()
		}
		f.get("/busy")
		require.Equal(t, "/busy", <-f.handler.arrived)
	}
	f.dial()
	f.get("/more")
	resp, err := http.ReadResponse(bufio.NewReader(f.conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.Empty(t, f.handler.arrived, "the request was not passed on")
	close(f.handler.release("/busy"))
}
