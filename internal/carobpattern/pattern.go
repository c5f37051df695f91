// Package carobpattern makes long bodies that either end of a test can tell
// whole from cut or mixed up, without holding them in memory.
package carobpattern

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Config is how a pattern is made.
type Config struct {
	// Seed tells one pattern from all others.
	Seed uint64
	// Length is the number of bytes, at least 0.
	Length int64
}

// Pattern reads as a body in which each word follows from the seed and its place.
type Pattern struct {
	seed   uint64
	length int64
	// at is the number of bytes read so far.
	at int64
}

const word = 8

// NewPattern returns a pattern of which nothing was read yet.
func NewPattern(c Config) *Pattern {
	return &Pattern{seed: c.Seed, length: c.Length}
}

// Read gives the next bytes.
func (p *Pattern) Read(into []byte) (int, error) {
	if p.at >= p.length {
		return 0, io.EOF
	}
	into = into[:min(int64(len(into)), p.length-p.at)]
	n := 0
	for n < len(into) {
		full := p.word(uint64(p.at / word)) //nolint:gosec // a place is not negative
		copied := copy(into[n:], full[p.at%word:])
		n += copied
		p.at += int64(copied)
	}
	return n, nil
}

// word returns the bytes of one place.
func (p *Pattern) word(place uint64) [word]byte {
	const odd = 0x9e3779b97f4a7c15
	var full [word]byte
	x := (p.seed ^ place) * odd
	x ^= x >> 29
	binary.LittleEndian.PutUint64(full[:], x*odd)
	return full
}

// Bytes returns the rest of the pattern, for short ones.
func (p *Pattern) Bytes() []byte {
	data := make([]byte, p.length-p.at)
	_, _ = io.ReadFull(p, data)
	return data
}

// Sum returns the checksum of all that a reader gives, and its length.
func Sum(from io.Reader) (sum uint64, length int64, err error) {
	digest := xxhash.New()
	length, err = io.Copy(digest, from)
	return digest.Sum64(), length, err
}
