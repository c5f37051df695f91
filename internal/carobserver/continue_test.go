package carobserver_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobserver"
)

// requireContinue requires that the next thing on the connection is a response with the status 100.
func (f *fixture) requireContinue() {
	f.t.Helper()
	const response = "HTTP/1.1 100 Continue\r\n\r\n"
	got := make([]byte, len(response))
	n, err := io.ReadFull(f.reader, got)
	require.NoError(f.t, err, "the connection ends after %q", got[:n])
	require.Equal(f.t, response, string(got))
}

// Guards against a connection that ends because "100 Continue" is written with the write deadline of a response that was sent long before.
func TestContinueIsSentLongAfterAResponse(t *testing.T) {
	const stallTimeout = time.Second
	f := newFixtureWith(t, func(c *carobserver.Config) { c.StallTimeout = stallTimeout })
	close(f.handler.release("/1"))
	f.get("/1")
	require.Equal(t, "answer to /1 ", string(f.read().Body()))
	pause(t, stallTimeout*3/2)
	f.send("POST /1 HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	f.requireContinue()
	f.send("hi")
	require.Equal(t, "answer to /1 hi", string(f.read().Body()))
}

// Guards against "100 Continue" within a response that is being sent.
func TestContinueIsSentBetweenResponses(t *testing.T) {
	for name, method := range map[string]string{"that runs beside others": "GET", "that does not": "POST"} {
		t.Run(name, func(t *testing.T) {
			f, rest, _ := newStreamFixture(t)
			f.send(method + " /2 HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
			pause(t, 50*time.Millisecond)
			_, err := rest.Write([]byte("last"))
			require.NoError(t, err)
			require.NoError(t, rest.Close())
			require.Equal(t, "first last", string(f.read().Body()))
			f.requireContinue()
			f.send("hi")
			close(f.handler.release("/2"))
			require.Equal(t, "answer to /2 hi", string(f.read().Body()))
		})
	}
}
