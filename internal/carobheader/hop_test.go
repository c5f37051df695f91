package carobheader

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Headers that concern one connection or are reserved for the system must not be
// forwarded: a caller could otherwise set the system's headers, or change how the
// target reads the connection.
func TestCleanRequest(t *testing.T) {
	var header fasthttp.RequestHeader
	require.NoError(t, header.Read(bufio.NewReader(strings.NewReader("POST /a HTTP/1.1\r\nHost: lookups\r\n"+
		"Connection: close, X-Secret\r\nx-secret: 1\r\nTrailer: X-Later\r\nTe: trailers\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n"+
		"cArObKnOt-Call: x\r\nContent-Length: 5\r\nContent-Type: text/plain\r\nCookie: a=b\r\nUser-Agent: u\r\nX-Kept: 1\r\n\r\n"))))
	CleanRequest(&header)
	require.Equal(t, "POST /a HTTP/1.1\r\nUser-Agent: u\r\nHost: lookups\r\nContent-Type: text/plain\r\n"+
		"Content-Length: 5\r\nX-Kept: 1\r\nCookie: a=b\r\n\r\n", header.String())
}

// Headers of the target's connection, or system headers that a target sets, must
// not reach the caller.
func TestCleanResponse(t *testing.T) {
	var header fasthttp.ResponseHeader
	require.NoError(t, header.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n"+
		"Connection: close, X-Secret\r\nX-Secret: 1\r\nTrailer: X-Later\r\nCarobknot-Kind: busy\r\nKeep-Alive: 5\r\nX-Kept: 1\r\n\r\n"))))
	CleanResponse(&header)
	text := header.String()
	for _, removed := range []string{"Connection", "X-Secret", "Trailer", "Carobknot", "Keep-Alive"} {
		require.NotContains(t, text, removed)
	}
	require.Contains(t, text, "X-Kept: 1\r\n")
}
