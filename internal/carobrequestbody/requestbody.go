// Package carobrequestbody holds the body of a call while it is sent to a target.
//
// A short body is buffered, so that every attempt of the call can send it. A long
// body is streamed and can be read only once, by the attempt that reads from it
// first. An attempt that is refused before it reads leaves the body to the next
// attempt.
package carobrequestbody

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// deadlineSetter limits reads of the connection that a body is received on.
type deadlineSetter interface {
	SetReadDeadline(at time.Time) error
}

// segments is a body in several pieces.
type segments interface {
	// Reader returns a reader of the whole body.
	Reader() io.Reader
	// Size returns the size of the body in bytes.
	Size() int
}

// Config holds the parameters of a RequestBody.
type Config struct {
	// Stream returns the body, or an error if it is cut off. If it is nil, Body is
	// the body.
	Stream io.Reader
	// Body is the body if the HTTP library has already read it.
	Body []byte
	// Segments is the body if it is in the memory, but not in one piece; nil otherwise.
	Segments segments
	// Length is the length of the body in bytes; negative if it is unknown.
	Length int
	// MaxBuffered is the maximum size of a body that is buffered for further attempts.
	MaxBuffered carobsize.Size
	// MaxSize is the maximum size of a body; 0 means no limit.
	MaxSize carobsize.Size
	// Conn is the connection that Stream reads from.
	Conn  deadlineSetter
	Timer *carobtimer.Timer
	// StallTimeout is the maximum time that each read may wait for the sender.
	StallTimeout time.Duration
}

// RequestBody is the body of one call.
type RequestBody struct {
	config Config
	// buffered is the whole body if it is not streamed.
	buffered []byte
	streamed bool
	// unread returns the streamed body: first the bytes that readBuffered has read,
	// then the rest of the stream.
	unread io.Reader
	// received is the number of bytes received so far.
	received carobsize.Size
	// claimed is true once an attempt has begun to read a streamed body.
	claimed atomic.Bool
	// readMutex is held while the stream is read.
	readMutex sync.Mutex
	// reading is true while a read of the stream is in progress.
	reading atomic.Bool
	// released is true once the stream must not be read any more.
	released atomic.Bool
	// senderErr is the first error of the sender while its body was read, such as a
	// stall. It is guarded by readMutex.
	senderErr error
}

// pastDeadline is a deadline in the past, which ends a read at once.
var pastDeadline = time.Unix(1, 0)

// NewRequestBody reads the body if it is to be buffered. Of a body of unknown length
// it reads at most one byte more than Config.MaxBuffered, to find out whether it has to
// be streamed. The error has kind TooLarge, RequestTimeout or Invalid.
func NewRequestBody(c Config) (*RequestBody, error) {
	b := &RequestBody{config: c}
	switch {
	case c.MaxSize > 0 && carobsize.Size(c.Length) > c.MaxSize:
		return nil, tooLarge(c.MaxSize)
	case c.Stream == nil:
		b.buffered = c.Body
		return b, nil
	case carobsize.Size(c.Length) > c.MaxBuffered:
		b.streamed, b.unread = true, c.Stream
		return b, nil
	default:
		return b, b.readBuffered()
	}
}

// readBuffered reads a body of at most Config.MaxBuffered bytes, or the beginning of a
// longer one of unknown length.
func (b *RequestBody) readBuffered() error {
	if b.config.Length >= 0 {
		return b.readLength()
	}
	ahead, err := io.ReadAll(io.LimitReader(b.timedStream(), int64(b.config.MaxBuffered)+1))
	if err != nil {
		return senderError(err)
	}
	if carobsize.Size(len(ahead)) <= b.config.MaxBuffered {
		b.buffered = ahead
		return nil
	}
	b.streamed, b.unread = true, io.MultiReader(bytes.NewReader(ahead), b.config.Stream)
	b.received = 0
	return nil
}

// firstBuffer is the size of the first buffer for a body, in bytes.
const firstBuffer = 16 << 10

// readLength reads a body of Config.Length bytes. Its memory grows with the bytes that
// arrive, since the sender may have announced more than it sends.
func (b *RequestBody) readLength() error {
	stream := b.timedStream()
	b.buffered = make([]byte, 0, min(b.config.Length, firstBuffer))
	for len(b.buffered) < b.config.Length {
		if len(b.buffered) == cap(b.buffered) {
			b.buffered = append(make([]byte, 0, min(b.config.Length, 2*cap(b.buffered))), b.buffered...)
		}
		n, err := stream.Read(b.buffered[len(b.buffered):cap(b.buffered)])
		b.buffered = b.buffered[:len(b.buffered)+n]
		if err == io.EOF && len(b.buffered) < b.config.Length { //nolint:errorlint // readers return io.EOF itself
			err = io.ErrUnexpectedEOF
		}
		if err != nil && len(b.buffered) < b.config.Length {
			return senderError(err)
		}
	}
	return nil
}

// Streamed reports whether the body is too long to be buffered.
func (b *RequestBody) Streamed() bool {
	return b.streamed
}

// NotResendable reports whether no further attempt can send the body.
func (b *RequestBody) NotResendable() bool {
	return b.streamed && (b.claimed.Load() || b.released.Load())
}

// Attach sets the body of an attempt's request. The error has kind NotResendable
// if the body was already streamed to another attempt.
func (b *RequestBody) Attach(req *fasthttp.Request) error {
	switch {
	case b.NotResendable():
		return carobkind.New(carobkind.NotResendable, "the body was already sent and is too long to be buffered")
	case b.config.Segments != nil:
		carobheader.SetContentLength(&req.Header, b.config.Segments.Size())
		req.SetBodyStream(b.config.Segments.Reader(), b.config.Segments.Size())
	case b.streamed:
		req.SetBodyStream(&attemptBody{body: b}, b.config.Length)
	case b.config.Stream != nil || len(b.buffered) > 0:
		req.SetBodyRaw(b.buffered)
		carobheader.SetContentLength(&req.Header, len(b.buffered))
	}
	return nil
}

// Release ends all reads of the stream, and returns when none is in progress. It
// must be called before the connection is used for anything else.
func (b *RequestBody) Release() {
	if !b.streamed || b.released.Swap(true) {
		return
	}
	if b.reading.Load() {
		_ = b.config.Conn.SetReadDeadline(pastDeadline)
	}
	b.readMutex.Lock()
	b.readMutex.Unlock() //nolint:staticcheck // taken only to wait for the reader
}

// timedStream returns the stream with a deadline for each read.
func (b *RequestBody) timedStream() io.Reader {
	return readerFunc(func(buf []byte) (int, error) {
		return b.read(b.config.Stream, buf)
	})
}

// read reads from stream with a deadline, counts the bytes, and records an error
// of the sender. It returns os.ErrClosed after Release.
func (b *RequestBody) read(stream io.Reader, buf []byte) (int, error) {
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	_ = b.config.Conn.SetReadDeadline(b.config.Timer.WallTime().Add(b.config.StallTimeout))
	b.reading.Store(true)
	defer b.reading.Store(false)
	if b.released.Load() {
		return 0, os.ErrClosed
	}
	n, err := stream.Read(buf)
	b.received += carobsize.Size(n)
	if b.config.MaxSize > 0 && b.received > b.config.MaxSize {
		n, err = 0, tooLarge(b.config.MaxSize)
	}
	if err != nil && err != io.EOF && b.senderErr == nil && !b.released.Load() { //nolint:errorlint // readers return io.EOF itself
		b.senderErr = senderError(err)
	}
	return n, err
}

// SenderError returns the first error of the sender while its body was read, such as a
// stall or a body above the limit; nil if there was none.
func (b *RequestBody) SenderError() error {
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	return b.senderErr
}

// attemptBody is a streamed body as one attempt reads it.
type attemptBody struct {
	body  *RequestBody
	owner bool
}

// Read reads from the stream. The error has kind NotResendable if another attempt
// has begun to read the body.
func (b *attemptBody) Read(buf []byte) (int, error) {
	if !b.owner {
		if !b.body.claimed.CompareAndSwap(false, true) {
			return 0, carobkind.New(carobkind.NotResendable, "the body is being sent by another attempt")
		}
		b.owner = true
	}
	return b.body.read(b.body.unread, buf)
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(buf []byte) (int, error)

func (r readerFunc) Read(buf []byte) (int, error) {
	return r(buf)
}

func tooLarge(limit carobsize.Size) error {
	return carobkind.New(carobkind.TooLarge, "the body is longer than the limit of %s", limit)
}

// senderError adds the error kind to an error that occurred while the body was read.
func senderError(err error) error {
	switch {
	case carobkind.Of(err) == carobkind.TooLarge:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return carobkind.Wrap(carobkind.RequestTimeout, err, "read body")
	default:
		return carobkind.Wrap(carobkind.Invalid, err, "read body")
	}
}
