package carobpool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against a status that does not exist and is passed on, or is skipped so that the bytes behind it are taken for the response.
func TestStatusThatDoesNotExistIsBroken(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "1000", "2000", "2x0", "-20", "+20", "20", "600", "999", "", "OK"} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, connection := range []string{"", "Connection: close\r\n"} {
				t.Run(fmt.Sprintf("%s %q %q", version, status, connection), func(t *testing.T) {
					server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool {
						_, _ = fmt.Fprintf(conn, "%s %s Oops\r\n%sContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", version, status, connection)
						return true
					})
					p := newPool(t, func(c *Config) { c.AllowCloseDelimited = true })
					got, body, err := roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/1"))
					require.Error(t, err, "status %d, body %q", got, body)
					require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
				})
			}
		}
	}
}

// Guards against interim responses without an end, and against another interim status in place of 100 that is taken for the response.
func TestInterimResponsesAreNotTheResponse(t *testing.T) {
	for _, expect := range []bool{false, true} {
		server := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int64) bool {
			for {
				if _, err := io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
					return false
				}
			}
		})
		p := newPool(t, func(c *Config) { c.ExpectContinue = expect })
		req := newRequest(fasthttp.MethodPost, "/1")
		req.SetBody([]byte(strings.Repeat("x", 100_000)))
		_, _, err := roundTrip(t, p, server, req)
		require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err))
	}
}

// zeroBody is a body of which more can always be read.
type zeroBody struct{}

func (zeroBody) Read(buf []byte) (int, error) { return len(buf), nil }

// Guards against a response without a length that is taken for complete, since the goroutine that sends the body gets the error of the reset, and reading gets the end of the stream.
func TestEarlyResponseWithoutALengthAndAReset(t *testing.T) {
	const rounds = 40
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go resetEarly(listener, version)
		p := newPool(t, func(c *Config) { c.AllowCloseDelimited = true })
		server := &testServer{address: carobaddress.Address(listener.Addr().String())}
		for range rounds {
			req := newRequest(fasthttp.MethodPost, "/1")
			req.SetBodyStream(zeroBody{}, 1<<30)
			status, body, err := roundTrip(t, p, server, req)
			require.Error(t, err, "status %d with %d bytes looks complete", status, len(body))
		}
	}
}

// resetEarly answers requests on a listener before it has read their bodies, and resets the
// connections.
func resetEarly(listener net.Listener, version string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			timer := carobtimer.NewTimer()
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, reader, 1<<20)
			_, _ = io.WriteString(conn, version+" 200 OK\r\nX-Part: 1\r\n\r\npart")
			_ = conn.SetReadDeadline(timer.WallTime().Add(5e6))
			_, _ = io.Copy(io.Discard, reader)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}()
	}
}

// Guards against a response without a length that is complete, though the target closed the connection for sending before it had read the whole body, and that is not delivered any more.
func TestEarlyResponseWithoutALengthThatEndsIsDelivered(t *testing.T) {
	server := startServer(t, func(conn net.Conn, req *http.Request, _, _ int64) bool {
		_, _ = io.CopyN(io.Discard, req.Body, 1000)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	p := newPool(t, func(c *Config) { c.AllowCloseDelimited = true })
	req := newRequest(fasthttp.MethodPost, "/1")
	req.SetBodyStream(zeroBody{}, 1<<30)
	status, body, err := roundTrip(t, p, server, req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
}

// Guards against a head that is too long for the buffer and whose malformed lines are therefore not checked, and against a broken response that a later request on the connection gets.
func TestMalformedHeadIsBroken(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for name, head := range map[string]string{
		"longer than the buffer":       "HTTP/1.1 200 OK\r\nX Odd: 1\r\nX-Long: " + long + "\r\nContent-Length: 2\r\n\r\nok",
		"line feeds and a long body":   "HTTP/1.1 200 OK\nX Odd: 1\n\n" + long + "\r\n\r\n",
		"empty lines first":            "\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"line feed alone as empty one": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok\r\n\r\n",
		"interim response":             "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		for _, expect := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %t", name, expect), func(t *testing.T) {
				server := startServer(t, func(conn net.Conn, _ *http.Request, connection, _ int64) bool {
					if connection > 1 {
						return respond(conn, "sound")
					}
					_, err := io.WriteString(conn, head)
					return err == nil
				})
				p := newPool(t, func(c *Config) { c.AllowCloseDelimited, c.ExpectContinue = true, expect })
				req := newRequest(fasthttp.MethodPost, "/1")
				req.SetBody([]byte(strings.Repeat("x", 100_000)))
				status, body, err := roundTrip(t, p, server, req)
				require.Equal(t, carobkind.ConnectionLost, carobkind.Of(err), "status %d, body %q", status, body)
				_, body, err = roundTrip(t, p, server, newRequest(fasthttp.MethodGet, "/2"))
				require.NoError(t, err)
				require.Equal(t, "sound", body)
			})
		}
	}
}
