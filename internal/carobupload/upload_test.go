package carobupload

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

func newUpload(t *testing.T, body string, length int, change func(c *Config)) (*Upload, error) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	c := Config{
		Stream: strings.NewReader(body), Length: length, Keep: 10, Limit: 100,
		Conn: near, Timer: carobtimer.NewTimer(), Stall: time.Minute,
	}
	if change != nil {
		change(&c)
	}
	return NewUpload(c)
}

func read(t *testing.T, u *Upload) (string, error) {
	t.Helper()
	rq := &fasthttp.Request{}
	if err := u.Attach(rq); err != nil {
		return "", err
	}
	if !rq.IsBodyStream() {
		return string(rq.Body()), nil
	}
	data, err := io.ReadAll(rq.BodyStream())
	return string(data), err
}

func TestKeptOrStreamed(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		length   int
		streamed bool
	}{
		"empty":                 {"", 0, false},
		"as long as kept":       {"0123456789", 10, false},
		"longer":                {"0123456789a", 11, true},
		"chunks, empty":         {"", -1, false},
		"chunks, as long":       {"0123456789", -1, false},
		"chunks, longer by one": {"0123456789a", -1, true},
		"chunks, much longer":   {strings.Repeat("x", 100), -1, true},
	} {
		t.Run(name, func(t *testing.T) {
			u, err := newUpload(t, c.body, c.length, nil)
			require.NoError(t, err)
			require.Equal(t, c.streamed, u.Streamed())
			body, err := read(t, u)
			require.NoError(t, err)
			require.Equal(t, c.body, body)
			again, err := read(t, u)
			if c.streamed {
				require.Equal(t, carobkind.NotResendable, carobkind.Of(err))
				require.True(t, u.Spent())
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.body, again)
		})
	}
}

func TestFaultsOfTheSender(t *testing.T) {
	for name, c := range map[string]struct {
		body   string
		length int
		kind   carobkind.Kind
	}{
		"shorter than said": {"012", 5, carobkind.Invalid},
		"length too large":  {"", 101, carobkind.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newUpload(t, c.body, c.length, nil)
			require.Equal(t, c.kind, carobkind.Of(err))
		})
	}
	u, err := newUpload(t, strings.Repeat("x", 101), -1, nil)
	require.NoError(t, err)
	_, err = read(t, u)
	require.Error(t, err, "chunks beyond the limit must not pass as a whole body")
	require.Equal(t, carobkind.TooLarge, carobkind.Of(u.Fault()))
	require.ErrorContains(t, u.Fault(), "100 B")
}

// Of two attempts that have a streamed body, one gets all of it and the other
// none.
func TestOneReader(t *testing.T) {
	u, err := newUpload(t, strings.Repeat("x", 50), 50, nil)
	require.NoError(t, err)
	first, second := &fasthttp.Request{}, &fasthttp.Request{}
	require.NoError(t, u.Attach(first))
	require.NoError(t, u.Attach(second))
	_, err = first.BodyStream().Read(make([]byte, 10))
	require.NoError(t, err)
	_, err = second.BodyStream().Read(make([]byte, 10))
	require.Equal(t, carobkind.NotResendable, carobkind.Of(err))
	rest, err := io.ReadAll(first.BodyStream())
	require.NoError(t, err)
	require.Len(t, rest, 40)
}

// Release ends a read that waits for the sender.
func TestRelease(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	u, err := newUpload(t, "", 50, func(c *Config) { c.Stream, c.Conn = near, near })
	require.NoError(t, err)
	rq := &fasthttp.Request{}
	require.NoError(t, u.Attach(rq))
	ended := make(chan error, 1)
	go func() {
		_, err := rq.BodyStream().Read(make([]byte, 10))
		ended <- err
	}()
	require.Eventually(t, u.reading.Load, 5*time.Second, time.Millisecond)
	u.Release()
	require.Error(t, <-ended)
	_, err = rq.BodyStream().Read(make([]byte, 10))
	require.Error(t, err, "nothing is read after the release")
	require.Equal(t, carobkind.NotResendable, carobkind.Of(u.Attach(rq)))
}

// A sender that stands still is cut off, and told so.
func TestStall(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	_, err := newUpload(t, "", 5, func(c *Config) {
		c.Stream, c.Conn, c.Stall = near, near, 10*time.Millisecond
	})
	require.Equal(t, carobkind.RequestTimeout, carobkind.Of(err))
}
