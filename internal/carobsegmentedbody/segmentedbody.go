// Package carobsegmentedbody holds a request body that is received in steps.
//
// The memory of a body grows with the bytes that have arrived, whatever length its sender
// announced. A body in several segments is never copied into one, which would take twice
// its size for a moment.
package carobsegmentedbody

import (
	"bytes"
	"io"
)

const (
	// minSegment is the size of the first segment in bytes. Most bodies fit into it.
	minSegment = 16 << 10
	// maxSegment is the size of the largest segment in bytes.
	maxSegment = 256 << 10
)

// Config holds the parameters of a SegmentedBody.
type Config struct {
	// Reserve reserves bytes before they are allocated. It may wait, and fails if they may
	// not be allocated. nil means no limit.
	Reserve func(size int) error
	// Received is called with the number of bytes that each read returned. It may be nil.
	Received func(size int)
}

// SegmentedBody is a body in the memory.
type SegmentedBody struct {
	config   Config
	segments [][]byte
	size     int
}

// NewSegmentedBody returns an empty body.
func NewSegmentedBody(c Config) *SegmentedBody {
	return &SegmentedBody{config: c}
}

// Size returns the number of bytes that were read.
func (b *SegmentedBody) Size() int {
	return b.size
}

// Receive reads a body of the given length, or up to the end of the source if the length
// is negative. If the body ends early, the error is io.ErrUnexpectedEOF. At most maxSize
// bytes and one more are read.
func (b *SegmentedBody) Receive(source io.Reader, length, maxSize int) error {
	for {
		left := maxSize + 1 - b.size
		if length >= 0 {
			left = length - b.size
		}
		if left <= 0 {
			return nil
		}
		segment, err := b.nextSegment(left)
		if err != nil {
			return err
		}
		switch err := b.fill(segment, source); {
		case err == io.EOF && length >= 0 && b.size < length: //nolint:errorlint // readers return io.EOF itself
			return io.ErrUnexpectedEOF
		case err == io.EOF: //nolint:errorlint // readers return io.EOF itself
			return nil
		case err != nil:
			return err
		}
	}
}

// nextSegment returns a segment with room, of at most left bytes if it is new. A new one
// is at most as long as all earlier ones together.
func (b *SegmentedBody) nextSegment(left int) (*[]byte, error) {
	if last := len(b.segments) - 1; last >= 0 && len(b.segments[last]) < cap(b.segments[last]) {
		return &b.segments[last], nil
	}
	size := min(left, maxSegment, max(minSegment, b.size))
	if b.config.Reserve != nil {
		if err := b.config.Reserve(size); err != nil {
			return nil, err
		}
	}
	b.segments = append(b.segments, make([]byte, 0, size))
	return &b.segments[len(b.segments)-1], nil
}

// fill reads until a segment is full.
func (b *SegmentedBody) fill(segment *[]byte, source io.Reader) error {
	for len(*segment) < cap(*segment) {
		n, err := source.Read((*segment)[len(*segment):cap(*segment)])
		*segment = (*segment)[:len(*segment)+n]
		b.size += n
		if b.config.Received != nil && n > 0 {
			b.config.Received(n)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Contiguous returns the body if it is in one segment or empty.
func (b *SegmentedBody) Contiguous() ([]byte, bool) {
	switch len(b.segments) {
	case 0:
		return nil, true
	case 1:
		return b.segments[0], true
	default:
		return nil, false
	}
}

// Reader returns a reader of the whole body. Several may read at once.
func (b *SegmentedBody) Reader() io.Reader {
	readers := make([]io.Reader, 0, len(b.segments))
	for _, segment := range b.segments {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}
