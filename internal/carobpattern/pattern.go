// Package carobpattern generates long pseudo-random bodies. Both ends of a test can
// check that such a body is complete and not mixed up with another, without holding
// it in memory.
package carobpattern

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings of a pattern.
type Config struct {
	// Seed determines the bytes; patterns with different seeds differ.
	Seed uint64
	// Length is the number of bytes, at least 0.
	Length int64
}

// Pattern is a reader of a body, each word of which is a function of the seed and the
// word's index.
type Pattern struct {
	seed   uint64
	length int64
	// offset is the number of bytes read so far.
	offset int64
}

// wordSize is the length in bytes of the words of a pattern.
const wordSize = 8

// NewPattern returns a reader at the start of a pattern.
func NewPattern(c Config) *Pattern {
	return &Pattern{seed: c.Seed, length: c.Length}
}

// Read implements io.Reader. Its only error is io.EOF, at the end of the pattern.
func (p *Pattern) Read(buf []byte) (int, error) {
	if p.offset >= p.length {
		return 0, io.EOF
	}
	buf = buf[:min(int64(len(buf)), p.length-p.offset)]
	filled := 0
	for filled < len(buf) {
		data := p.wordAt(uint64(p.offset / wordSize)) //nolint:gosec // an offset is not negative
		n := copy(buf[filled:], data[p.offset%wordSize:])
		filled += n
		p.offset += int64(n)
	}
	return filled, nil
}

// wordAt returns the bytes of the word with the given index.
func (p *Pattern) wordAt(index uint64) [wordSize]byte {
	const multiplier = 0x9e3779b97f4a7c15
	var data [wordSize]byte
	x := (p.seed ^ index) * multiplier
	x ^= x >> 29
	binary.LittleEndian.PutUint64(data[:], x*multiplier)
	return data
}

// Bytes returns the rest of the pattern in memory; it is meant for short patterns.
func (p *Pattern) Bytes() []byte {
	data := make([]byte, p.length-p.offset)
	_, _ = io.ReadFull(p, data)
	return data
}

// Checksum reads a source to its end and returns the checksum (xxHash64) and the number
// of bytes, or the source's error.
func Checksum(source io.Reader) (sum uint64, length int64, err error) {
	digest := xxhash.New()
	length, err = io.Copy(digest, source)
	return digest.Sum64(), length, err
}
