// Package carobanswer holds an answer whose header has been received and whose
// body can be read.
package carobanswer

import (
	"bytes"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/pkg/carobreport"
)

// Answer is an answer of a target. The body is read while it is forwarded.
type Answer struct {
	// Response has the status and the headers. Its body is not used.
	Response *fasthttp.Response
	// NoBody is true if there is no body, even if Length is above 0, as in an
	// answer to HEAD.
	NoBody bool
	// Length is the length of the body in bytes; negative if it is chunked.
	Length int
	// Body returns the body, or an error if it is cut off. It must be closed.
	Body io.ReadCloser
	// Buffered is true if Buffer has read the whole body.
	Buffered bool
	// Report is the target's load; nil if the answer has no report.
	Report *carobreport.Report
}

// Buffer reads a body of at most maxSize bytes completely, so that an answer that is cut off is detected before
// any of it is forwarded. If the body is cut off, Buffer closes it and returns the error.
// A longer body, or one for which the budget of all answers has no room, can still be read
// from its beginning. The budget is released when the body is closed; nil has no limit.
func (a *Answer) Buffer(maxSize int, budget *carobbytebudget.ByteBudget) error {
	if a.NoBody || a.Length > maxSize {
		return nil
	}
	buffer := &bodyBuffer{maxSize: maxSize, budget: budget}
	complete, err := buffer.read(a.Body, a.Length)
	if err == nil && complete && a.Length >= 0 && len(buffer.data) != a.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		buffer.release()
		_ = a.Body.Close()
		return err
	}
	if !complete {
		a.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(buffer.data), a.Body), rest: a.Body, buffer: buffer}
		return nil
	}
	err = a.Body.Close()
	a.Buffered = true
	a.Length, a.Body = len(buffer.data), &bufferedBody{Reader: bytes.NewReader(buffer.data), buffer: buffer}
	return err
}

// bodyBuffer is the part of a body that has been read.
type bodyBuffer struct {
	// maxSize is the largest body that is buffered, in bytes.
	maxSize int
	budget  *carobbytebudget.ByteBudget
	data    []byte
	// reserved is what the buffer holds of the budget, at least cap(data).
	reserved int
}

// minBuffer is the size of the first buffer for a body of unknown length, in bytes.
const minBuffer = 4096

// read reads a body of the given length, negative if it is unknown. It returns false if
// the body is longer than allowed, or if the budget has no room for it.
func (b *bodyBuffer) read(body io.Reader, length int) (complete bool, err error) {
	size := min(minBuffer, b.maxSize+1)
	if length >= 0 {
		size = length + 1
	}
	for {
		if !b.grow(size) {
			return false, nil
		}
		for len(b.data) < cap(b.data) {
			n, err := body.Read(b.data[len(b.data):cap(b.data)])
			b.data = b.data[:len(b.data)+n]
			if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
				return true, nil
			}
			if err != nil {
				return false, err
			}
		}
		if len(b.data) > b.maxSize {
			return false, nil
		}
		size = min(2*len(b.data), b.maxSize+1)
	}
}

// grow gives the buffer the given capacity. It reports false, and leaves the buffer as it
// is, if the budget has no room for that.
func (b *bodyBuffer) grow(size int) bool {
	if !b.budget.Reserve(size - b.reserved) {
		return false
	}
	b.reserved = size
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

func (b *bodyBuffer) release() {
	b.budget.Release(b.reserved)
	b.reserved = 0
}

// bufferedBody returns first the bytes that Buffer has read and then the rest of the body.
type bufferedBody struct {
	io.Reader
	// rest is the unread part of the body; nil if the body was read completely.
	rest   io.Closer
	buffer *bodyBuffer
	once   sync.Once
}

// Close releases the budget, and closes the rest of the body.
func (b *bufferedBody) Close() error {
	b.once.Do(b.buffer.release)
	if b.rest == nil {
		return nil
	}
	return b.rest.Close()
}
