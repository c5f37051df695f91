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

// Trailers of a caller must not become headers: it could otherwise add headers of the
// system, which were removed from its head, behind the body.
func TestCleanRequestChecksTrailers(t *testing.T) {
	var header fasthttp.RequestHeader
	require.NoError(t, header.Read(bufio.NewReader(strings.NewReader("POST /a HTTP/1.1\r\nHost: lookups\r\n"+
		"Trailer: Carobknot-Limit\r\nTransfer-Encoding: chunked\r\n\r\n"))))
	require.NoError(t, header.ReadTrailer(bufio.NewReader(strings.NewReader("Carobknot-Limit: 1\r\ncarobknot_call: x\r\nUpgrade: h2c\r\n\r\n"))))
	CleanRequest(&header)
	require.Equal(t, "POST /a HTTP/1.1\r\nHost: lookups\r\nTransfer-Encoding: chunked\r\n\r\n", header.String())
}

// A header that is set for the target must be the only one that the target can take for
// it: the library's Set leaves further copies and other spellings.
func TestReplace(t *testing.T) {
	for name, fields := range map[string]string{
		"none":        "",
		"copies":      "X-Set: a\r\nX-Set: b\r\nx-set:\r\n",
		"underscores": "X_Set: a\r\nX-SET: b\r\nx_set: c\r\nX.Set: d\r\n",
		"announced":   "Trailer: X-Set, x_set\r\nX-Set: a\r\nX-Set: b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var header fasthttp.RequestHeader
			require.NoError(t, header.Read(bufio.NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: lookups\r\n"+fields+"X-Sets: 1\r\nSet: 2\r\n\r\n"))))
			CleanRequest(&header)
			Replace(&header, "X-Set", "node")
			kept := map[string][]string{}
			for key, value := range header.All() {
				kept[string(key)] = append(kept[string(key)], string(value))
			}
			require.Equal(t, map[string][]string{"Host": {"lookups"}, "X-Set": {"node"}, "X-Sets": {"1"}, "Set": {"2"}}, kept)
		})
	}
}

// Fields of one name must keep their order when others are removed: it shows, for example, which
// proxy added which address. The library's Del changes it.
func TestRepeatedFieldsKeepTheirOrder(t *testing.T) {
	const kept = "X-Via: 1\r\nAccept: a\r\nX-Via: 2\r\nAccept: b\r\nX-Via: 3\r\n"
	const other = "Te: x\r\nX-Set: a\r\nX_Set: b\r\nCarobknot-Call: c\r\nX-Gone: d\r\nx-gone: e\r\nConnection: X-Gone\r\nConnection: close\r\n"
	var request fasthttp.RequestHeader
	require.NoError(t, request.Read(bufio.NewReader(strings.NewReader("GET /a HTTP/1.1\r\nHost: lookups\r\n"+other+kept+"\r\n"))))
	CleanRequest(&request)
	Remove(&request, "X-None")
	Replace(&request, "X-Set", "node")
	require.Equal(t, [][]byte{[]byte("1"), []byte("2"), []byte("3")}, request.PeekAll("X-Via"))
	require.Equal(t, [][]byte{[]byte("a"), []byte("b")}, request.PeekAll("Accept"))
	require.Equal(t, [][]byte{[]byte("node")}, request.PeekAll("X-Set"))
	Remove(&request, "X-Set")
	require.Equal(t, "GET /a HTTP/1.1\r\nHost: lookups\r\n"+kept+"\r\n", request.String())
	request.SetContentLength(ChunkedLength)
	request.Add("X-Via", "4")
	SetContentLength(&request, 0)
	require.Equal(t, "GET /a HTTP/1.1\r\nHost: lookups\r\nContent-Length: 0\r\n"+kept+"X-Via: 4\r\n\r\n", request.String())
	var response fasthttp.ResponseHeader
	response.SetNoDefaultContentType(true)
	require.NoError(t, response.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+other+kept+"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n\r\n"))))
	CleanResponse(&response, "X-Set")
	require.Equal(t, [][]byte{[]byte("1"), []byte("2"), []byte("3")}, response.PeekAll("X-Via"))
	require.Contains(t, response.String(), "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n")
	require.NotContains(t, response.String(), "Gone")
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

// Headers by which callers recognise a response must reach them, even if the target names
// them as headers of its connection, or announces them as trailers.
func TestCleanResponseKeeps(t *testing.T) {
	var header fasthttp.ResponseHeader
	require.NoError(t, header.Read(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+
		"Connection: x-stamp, X-Secret\r\nTrailer: X-Stamp\r\nX-Stamp: 1\r\nX-Secret: 1\r\n\r\n"))))
	CleanResponse(&header, "X-Stamp")
	require.Contains(t, header.String(), "X-Stamp: 1\r\n")
	for _, removed := range []string{"X-Secret", "Connection", "Trailer"} {
		require.NotContains(t, header.String(), removed)
	}
}
