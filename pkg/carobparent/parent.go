// Package carobparent holds the trace context that calls carry from hop to hop,
// as the W3C recommendation "Trace Context" writes it.
package carobparent

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
)

// Parent names a trace and one span in it. The zero value names none.
type Parent struct {
	// Trace is the same for all hops of a call. It is not zero.
	Trace [16]byte
	// Span is one hop's own. It is not zero.
	Span [8]byte
	// Flags are the caller's; sampled is the lowest bit.
	Flags byte
}

const (
	version = "00"
	sampled = 1
	// length is that of the text in version 00; later versions are no shorter.
	length = 55
	dash   = "-"
)

// NewParent returns the first span of a new trace.
func NewParent(r *rand.Rand) Parent {
	p := Parent{Flags: sampled}
	for p.Trace == [16]byte{} {
		binary.BigEndian.PutUint64(p.Trace[:8], r.Uint64())
		binary.BigEndian.PutUint64(p.Trace[8:], r.Uint64())
	}
	return p.Child(r)
}

// Child returns a new span of the same trace.
func (p Parent) Child(r *rand.Rand) Parent {
	p.Span = [8]byte{}
	for p.Span == [8]byte{} {
		binary.BigEndian.PutUint64(p.Span[:], r.Uint64())
	}
	return p
}

// String writes the header's value.
func (p Parent) String() string {
	b := make([]byte, 0, length)
	b = append(b, version+dash...)
	b = append(hex.AppendEncode(b, p.Trace[:]), dash...)
	b = append(hex.AppendEncode(b, p.Span[:]), dash...)
	return string(hex.AppendEncode(b, []byte{p.Flags}))
}

// Parse reads a header's value. It reports false for what is no trace context:
// the trace then starts anew, as the recommendation says.
func Parse(text string) (Parent, bool) {
	const fields = 4
	parts := strings.SplitN(text, dash, fields+1)
	if len(parts) < fields || len(text) < length || !hexadecimal(parts[0], 1) || parts[0] == "ff" {
		return Parent{}, false
	}
	if parts[0] == version && len(text) != length {
		return Parent{}, false
	}
	var p Parent
	var flags [1]byte
	if !decode(p.Trace[:], parts[1]) || !decode(p.Span[:], parts[2]) || !decode(flags[:], parts[3]) {
		return Parent{}, false
	}
	p.Flags = flags[0] & sampled
	return p, p.Trace != [16]byte{} && p.Span != [8]byte{}
}

func decode(into []byte, text string) bool {
	if !hexadecimal(text, len(into)) {
		return false
	}
	_, err := hex.Decode(into, []byte(text))
	return err == nil
}

// hexadecimal reports whether text has n bytes in lower-case digits.
func hexadecimal(text string, n int) bool {
	const digits = 2
	return len(text) == digits*n && strings.Trim(text, "0123456789abcdef") == ""
}
