// Package carobupload holds the body of a call on its way to a target.
//
// A short body is kept whole, so that every attempt at the call can send it. A
// long one is streamed: it can be read once only, by the attempt that first
// asks for its bytes, and an attempt that was refused before has used nothing
// up.
package carobupload

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// deadliner bounds reads of the connection that a body comes from.
type deadliner interface {
	SetReadDeadline(at time.Time) error
}

// Config is how an upload is made.
type Config struct {
	// Stream gives the body or an error; nil if Whole is the body.
	Stream io.Reader
	// Whole is the body if the HTTP library has read it already.
	Whole []byte
	// Length is the length of the body; negative if it is not known.
	Length int
	// Keep is the longest body that is kept for another attempt.
	Keep carobsize.Size
	// Limit is the longest body; 0 if there is no limit.
	Limit carobsize.Size
	// Conn is what Stream reads from.
	Conn  deadliner
	Timer *carobtimer.Timer
	// Stall is how long the sender may send nothing.
	Stall time.Duration
}

// Upload is the body of one call.
type Upload struct {
	config Config
	// kept is the whole body if it is not streamed.
	kept     []byte
	streamed bool
	// rest is what was read ahead, and then the stream.
	rest io.Reader
	// seen is the number of bytes that came so far.
	seen carobsize.Size
	// claimed says that an attempt has begun to read a streamed body.
	claimed atomic.Bool
	// busy is held by whoever reads from the stream.
	busy sync.Mutex
	// reading says that a read of the stream is under way.
	reading atomic.Bool
	// released says that the stream must not be read any more.
	released atomic.Bool
	// fault is what the sender did wrong while its body was streamed. It is
	// guarded by busy.
	fault error
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// NewUpload reads a body that is to be kept, or as much of one of unknown length
// as shows that it is too long for that.
func NewUpload(c Config) (*Upload, error) {
	u := &Upload{config: c}
	switch {
	case c.Limit > 0 && carobsize.Size(c.Length) > c.Limit:
		return nil, tooLarge(c.Limit)
	case c.Stream == nil:
		u.kept = c.Whole
		return u, nil
	case carobsize.Size(c.Length) > c.Keep:
		u.streamed, u.rest = true, c.Stream
		return u, nil
	default:
		return u, u.readAhead()
	}
}

func (u *Upload) readAhead() error {
	if u.config.Length >= 0 {
		u.kept = make([]byte, u.config.Length)
		if _, err := io.ReadFull(u.source(), u.kept); err != nil {
			return senderFault(err)
		}
		return nil
	}
	ahead, err := io.ReadAll(io.LimitReader(u.source(), int64(u.config.Keep)+1))
	if err != nil {
		return senderFault(err)
	}
	if carobsize.Size(len(ahead)) <= u.config.Keep {
		u.kept = ahead
		return nil
	}
	u.streamed, u.rest = true, io.MultiReader(bytes.NewReader(ahead), u.config.Stream)
	u.seen = 0
	return nil
}

// Streamed reports whether the body is too long to be kept.
func (u *Upload) Streamed() bool {
	return u.streamed
}

// Spent reports whether no further attempt can send the body.
func (u *Upload) Spent() bool {
	return u.streamed && (u.claimed.Load() || u.released.Load())
}

// Attach makes the body that of an attempt's request.
func (u *Upload) Attach(rq *fasthttp.Request) error {
	switch {
	case u.Spent():
		return carobkind.New(carobkind.NotResendable, "the body was sent already and is too long to be kept")
	case u.streamed:
		rq.SetBodyStream(&claim{upload: u}, u.config.Length)
	case u.config.Stream != nil || len(u.kept) > 0:
		rq.SetBodyRaw(u.kept)
		rq.Header.SetContentLength(len(u.kept))
	}
	return nil
}

// Release ends all reading of the stream, and returns when none is under way.
// It must be called before the connection is used for anything else.
func (u *Upload) Release() {
	if !u.streamed || u.released.Swap(true) {
		return
	}
	if u.reading.Load() {
		_ = u.config.Conn.SetReadDeadline(past)
	}
	u.busy.Lock()
	u.busy.Unlock() //nolint:staticcheck // taken only to wait for the reader
}

// source reads the stream with a deadline for each read.
func (u *Upload) source() io.Reader {
	return reader(func(into []byte) (int, error) {
		return u.read(u.config.Stream, into)
	})
}

func (u *Upload) read(from io.Reader, into []byte) (int, error) {
	u.busy.Lock()
	defer u.busy.Unlock()
	_ = u.config.Conn.SetReadDeadline(u.config.Timer.Wall().Add(u.config.Stall))
	u.reading.Store(true)
	defer u.reading.Store(false)
	if u.released.Load() {
		return 0, os.ErrClosed
	}
	n, err := from.Read(into)
	u.seen += carobsize.Size(n)
	if u.config.Limit > 0 && u.seen > u.config.Limit {
		n, err = 0, tooLarge(u.config.Limit)
	}
	if err != nil && err != io.EOF && u.fault == nil && !u.released.Load() { //nolint:errorlint // readers return io.EOF itself
		u.fault = senderFault(err)
	}
	return n, err
}

// Fault returns what the sender did wrong with its body, or nil.
func (u *Upload) Fault() error {
	u.busy.Lock()
	defer u.busy.Unlock()
	return u.fault
}

// claim is a streamed body in the hands of one attempt.
type claim struct {
	upload *Upload
	mine   bool
}

// Read reads on, if no other attempt has begun before.
func (c *claim) Read(into []byte) (int, error) {
	if !c.mine {
		if !c.upload.claimed.CompareAndSwap(false, true) {
			return 0, carobkind.New(carobkind.NotResendable, "the body is being sent by another attempt")
		}
		c.mine = true
	}
	return c.upload.read(c.upload.rest, into)
}

type reader func(into []byte) (int, error)

func (r reader) Read(into []byte) (int, error) {
	return r(into)
}

func tooLarge(limit carobsize.Size) error {
	return carobkind.New(carobkind.TooLarge, "the body is longer than the limit of %s", limit)
}

// senderFault gives an error of the sender its kind.
func senderFault(err error) error {
	switch {
	case carobkind.Of(err) == carobkind.TooLarge:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return carobkind.Wrap(carobkind.RequestTimeout, err, "read body")
	default:
		return carobkind.Wrap(carobkind.Invalid, err, "read body")
	}
}
