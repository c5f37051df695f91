// Package carobbody forwards the body of a response and reports whether all of it was
// read.
package carobbody

import (
	"io"
	"sync"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Config holds the parameters of a body.
type Config struct {
	// Stream is the body that is forwarded.
	Stream io.ReadCloser
	// Length is the length of the body in bytes; negative if it is not known.
	Length int
	// ExtendDeadline is called after each read of Stream, before the bytes are sent. It
	// extends the write deadline of the receiver's connection. May be nil.
	ExtendDeadline func()
	// OnEnd is called once, when the body is closed. The kind is None if the whole body
	// was read, and ConnectionLost otherwise.
	OnEnd func(kind carobkind.Kind)
}

// Body is the body of a response that is being forwarded.
type Body struct {
	stream io.ReadCloser
	// bytesLeft is the number of bytes still to be read; negative if it is not known.
	bytesLeft int
	// complete is true once the whole body has been read.
	complete       bool
	extendDeadline func()
	onEnd          func(kind carobkind.Kind)
	once           sync.Once
}

// NewBody returns a body of which nothing has been read.
func NewBody(c Config) *Body {
	return &Body{stream: c.Stream, bytesLeft: c.Length, complete: c.Length == 0, extendDeadline: c.ExtendDeadline, onEnd: c.OnEnd}
}

// Read reads the next bytes. It returns io.ErrUnexpectedEOF if Stream ends before
// Config.Length bytes.
func (b *Body) Read(into []byte) (int, error) {
	n, err := b.stream.Read(into)
	b.bytesLeft -= n
	if b.extendDeadline != nil {
		b.extendDeadline()
	}
	if err == io.EOF && b.bytesLeft > 0 { //nolint:errorlint // readers return io.EOF itself
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF || b.bytesLeft == 0 { //nolint:errorlint // readers return io.EOF itself
		b.complete = true
	}
	return n, err
}

// Close closes Stream. The first call reports to Config.OnEnd how the body ended.
func (b *Body) Close() error {
	err := b.stream.Close()
	b.once.Do(func() {
		kind := carobkind.ConnectionLost
		if b.complete {
			kind = carobkind.None
		}
		b.onEnd(kind)
	})
	return err
}
