// Package carobbody watches how the passing on of an answer's body ends.
package carobbody

import (
	"io"
	"sync"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Config is how a body is made.
type Config struct {
	Stream io.ReadCloser
	// Length is the length of the body; negative if it is not known.
	Length int
	// Allow is called before bytes are handed out, so that the receiver has time
	// anew to take them. May be nil.
	Allow func()
	// Over is told once, when the body is closed: None if all of it was read,
	// Cut otherwise.
	Over func(kind carobkind.Kind)
}

// Body is a body on its way. Reading it gives the whole body or an error.
type Body struct {
	stream io.ReadCloser
	// left is the number of bytes still to come; negative if it is not known.
	left  int
	whole bool
	allow func()
	over  func(kind carobkind.Kind)
	once  sync.Once
}

// NewBody returns a body of which nothing was read yet.
func NewBody(c Config) *Body {
	return &Body{stream: c.Stream, left: c.Length, whole: c.Length == 0, allow: c.Allow, over: c.Over}
}

// Read reads on.
func (b *Body) Read(into []byte) (int, error) {
	n, err := b.stream.Read(into)
	b.left -= n
	if b.allow != nil {
		b.allow()
	}
	if err == io.EOF && b.left > 0 { //nolint:errorlint // readers return io.EOF itself
		return n, io.ErrUnexpectedEOF
	}
	if err == io.EOF || b.left == 0 { //nolint:errorlint // readers return io.EOF itself
		b.whole = true
	}
	return n, err
}

// Close closes the body and tells how it ended.
func (b *Body) Close() error {
	err := b.stream.Close()
	b.once.Do(func() {
		kind := carobkind.ConnectionLost
		if b.whole {
			kind = carobkind.None
		}
		b.over(kind)
	})
	return err
}
