package carobheader

import (
	"bufio"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestCleanRequest(t *testing.T) {
	var hd fasthttp.RequestHeader
	require.NoError(t, hd.Read(bufio.NewReader(strings.NewReader("POST /a HTTP/1.1\r\nHost: lookups\r\n"+
		"Connection: close, X-Secret\r\nx-secret: 1\r\nTrailer: X-Later\r\nTe: trailers\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n"+
		"cArObKnOt-Call: x\r\nContent-Length: 5\r\nContent-Type: text/plain\r\nCookie: a=b\r\nUser-Agent: u\r\nX-Kept: 1\r\n\r\n"))))
	CleanRequest(&hd)
	require.Equal(t, "POST /a HTTP/1.1\r\nUser-Agent: u\r\nHost: lookups\r\nContent-Type: text/plain\r\n"+
		"Content-Length: 5\r\nX-Kept: 1\r\nCookie: a=b\r\n\r\n", hd.String())
}

func TestCleanResponse(t *testing.T) {
	var hd fasthttp.ResponseHeader
	require.NoError(t, hd.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n"+
		"Connection: close, X-Secret\r\nX-Secret: 1\r\nTrailer: X-Later\r\nCarobknot-Kind: busy\r\nKeep-Alive: 5\r\nX-Kept: 1\r\n\r\n"))))
	CleanResponse(&hd)
	text := hd.String()
	for _, gone := range []string{"Connection", "X-Secret", "Trailer", "Carobknot", "Keep-Alive"} {
		require.NotContains(t, text, gone)
	}
	require.Contains(t, text, "X-Kept: 1\r\n")
}
