package carobrequestbody

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// newBody returns a body that buffers up to 10 bytes and accepts up to 100.
func newBody(t *testing.T, body string, length int, change func(c *Config)) (*RequestBody, error) {
	t.Helper()
	serverConn, clientConn := net.Pipe()
	t.Cleanup(func() { _, _ = serverConn.Close(), clientConn.Close() })
	c := Config{
		Stream: strings.NewReader(body), Length: length, MaxBuffered: 10, MaxSize: 100,
		Conn: serverConn, Timer: carobtimer.NewTimer(), StallTimeout: time.Minute,
	}
	if change != nil {
		change(&c)
	}
	return NewRequestBody(c)
}

// read returns the body as one attempt sends it.
func read(t *testing.T, requestBody *RequestBody) (string, error) {
	t.Helper()
	req := &fasthttp.Request{}
	if err := requestBody.Attach(req); err != nil {
		return "", err
	}
	if !req.IsBodyStream() {
		return string(req.Body()), nil
	}
	data, err := io.ReadAll(req.BodyStream())
	return string(data), err
}

// A body that is buffered too eagerly takes memory without bound; one that is
// streamed too early costs the call its retries.
func TestShortBodyIsBufferedAndLongBodyIsStreamed(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		length   int
		streamed bool
	}{
		"empty":                    {"", 0, false},
		"at the limit":             {"0123456789", 10, false},
		"longer":                   {"0123456789a", 11, true},
		"chunked, empty":           {"", -1, false},
		"chunked, at the limit":    {"0123456789", -1, false},
		"chunked, one byte longer": {"0123456789a", -1, true},
		"chunked, much longer":     {strings.Repeat("x", 100), -1, true},
	} {
		t.Run(name, func(t *testing.T) {
			requestBody, err := newBody(t, c.body, c.length, nil)
			require.NoError(t, err)
			require.Equal(t, c.streamed, requestBody.Streamed())
			body, err := read(t, requestBody)
			require.NoError(t, err)
			require.Equal(t, c.body, body)
			again, err := read(t, requestBody)
			if c.streamed {
				require.Equal(t, carobkind.NotResendable, carobkind.Of(err))
				require.True(t, requestBody.NotResendable())
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.body, again)
		})
	}
}

// Memory that is allocated for the announced length could be used up by senders that send
// almost nothing.
func TestMemoryOfBufferedBodyGrowsWithWhatArrives(t *testing.T) {
	const announced = 64 << 20
	requestBody, err := newBody(t, strings.Repeat("x", 50_000), announced, func(c *Config) { c.MaxBuffered, c.MaxSize = announced, announced })
	require.Equal(t, carobkind.Invalid, carobkind.Of(err))
	require.LessOrEqual(t, cap(requestBody.buffered), 100_000)
	whole := strings.Repeat("0123456789", 10_000)
	requestBody, err = newBody(t, whole, len(whole), func(c *Config) { c.MaxBuffered, c.MaxSize = announced, announced })
	require.NoError(t, err)
	body, err := read(t, requestBody)
	require.NoError(t, err)
	require.Equal(t, whole, body)
}

// A body that is cut off or exceeds the limit must not reach a target as if it
// were complete.
func TestIncompleteOrTooLongBodyIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		length int
		kind   carobkind.Kind
	}{
		"shorter than its length": {"012", 5, carobkind.Invalid},
		"length too large":        {"", 101, carobkind.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newBody(t, c.body, c.length, nil)
			require.Equal(t, c.kind, carobkind.Of(err))
		})
	}
	requestBody, err := newBody(t, strings.Repeat("x", 101), -1, nil)
	require.NoError(t, err)
	_, err = read(t, requestBody)
	require.Error(t, err, "a chunked body above the limit must not pass as complete")
	require.Equal(t, carobkind.TooLarge, carobkind.Of(requestBody.SenderError()))
	require.ErrorContains(t, requestBody.SenderError(), "100 B")
}

// If two attempts read from one stream, each would send parts of the body. The
// first to read gets all of it, and the other an error.
func TestStreamedBodyIsReadByOneAttempt(t *testing.T) {
	requestBody, err := newBody(t, strings.Repeat("x", 50), 50, nil)
	require.NoError(t, err)
	first, second := &fasthttp.Request{}, &fasthttp.Request{}
	require.NoError(t, requestBody.Attach(first))
	require.NoError(t, requestBody.Attach(second))
	_, err = first.BodyStream().Read(make([]byte, 10))
	require.NoError(t, err)
	_, err = second.BodyStream().Read(make([]byte, 10))
	require.Equal(t, carobkind.NotResendable, carobkind.Of(err))
	remaining, err := io.ReadAll(first.BodyStream())
	require.NoError(t, err)
	require.Len(t, remaining, 40)
}

// If Release waited for a sender that sends nothing, the caller would not get its
// answer.
func TestReleaseEndsPendingRead(t *testing.T) {
	serverConn, clientConn := net.Pipe()
	defer func() { _, _ = serverConn.Close(), clientConn.Close() }()
	requestBody, err := newBody(t, "", 50, func(c *Config) { c.Stream, c.Conn = serverConn, serverConn })
	require.NoError(t, err)
	req := &fasthttp.Request{}
	require.NoError(t, requestBody.Attach(req))
	ended := make(chan error, 1)
	go func() {
		_, err := req.BodyStream().Read(make([]byte, 10))
		ended <- err
	}()
	require.Eventually(t, requestBody.reading.Load, 5*time.Second, time.Millisecond)
	requestBody.Release()
	require.Error(t, <-ended)
	_, err = req.BodyStream().Read(make([]byte, 10))
	require.Error(t, err, "nothing must be read after Release")
	require.Equal(t, carobkind.NotResendable, carobkind.Of(requestBody.Attach(req)))
}

// A sender that stalls must not hold the call, and its error has to say that it
// was too slow.
func TestStalledSenderTimesOut(t *testing.T) {
	serverConn, clientConn := net.Pipe()
	defer func() { _, _ = serverConn.Close(), clientConn.Close() }()
	_, err := newBody(t, "", 5, func(c *Config) {
		c.Stream, c.Conn, c.StallTimeout = serverConn, serverConn, 10*time.Millisecond
	})
	require.Equal(t, carobkind.RequestTimeout, carobkind.Of(err))
}
