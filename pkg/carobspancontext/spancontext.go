// Package carobspancontext encodes and decodes the traceparent header, which calls
// carry from hop to hop. Its format is defined by the W3C recommendation "Trace
// Context".
package carobspancontext

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"
)

// SpanContext identifies a span and its trace. The zero value identifies none.
type SpanContext struct {
	// TraceID is the trace ID, the same for all hops of a call. It is not zero.
	TraceID [16]byte
	// SpanID is the ID of one hop. It is not zero.
	SpanID [8]byte
	// Flags are the trace flags; the lowest bit means sampled.
	Flags byte
}

const (
	version     = "00"
	sampledFlag = 1
	// headerLength is the length of a header of version 00; those of later versions
	// are at least as long.
	headerLength = 55
	separator    = "-"
)

// NewSpanContext returns the root span of a new trace, sampled.
func NewSpanContext(random *rand.Rand) SpanContext {
	trace := SpanContext{Flags: sampledFlag}
	for trace.TraceID == [16]byte{} {
		binary.BigEndian.PutUint64(trace.TraceID[:8], random.Uint64())
		binary.BigEndian.PutUint64(trace.TraceID[8:], random.Uint64())
	}
	return trace.Child(random)
}

// Child returns a span with a new random ID in the same trace.
func (c SpanContext) Child(random *rand.Rand) SpanContext {
	c.SpanID = [8]byte{}
	for c.SpanID == [8]byte{} {
		binary.BigEndian.PutUint64(c.SpanID[:], random.Uint64())
	}
	return c
}

// String returns the header value in version 00.
func (c SpanContext) String() string {
	b := make([]byte, 0, headerLength)
	b = append(b, version+separator...)
	b = append(hex.AppendEncode(b, c.TraceID[:]), separator...)
	b = append(hex.AppendEncode(b, c.SpanID[:]), separator...)
	return string(hex.AppendEncode(b, []byte{c.Flags}))
}

// Parse decodes a header value and keeps only the sampled flag. It returns false if
// the value is malformed; the caller then starts a new trace, as the recommendation
// demands.
func Parse(text string) (SpanContext, bool) {
	const fields = 4
	parts := strings.SplitN(text, separator, fields+1)
	if len(parts) < fields || len(text) < headerLength || !isLowerHex(parts[0], 1) || parts[0] == "ff" {
		return SpanContext{}, false
	}
	if parts[0] == version && len(text) != headerLength {
		return SpanContext{}, false
	}
	var decoded SpanContext
	var flags [1]byte
	if !decodeHex(decoded.TraceID[:], parts[1]) || !decodeHex(decoded.SpanID[:], parts[2]) || !decodeHex(flags[:], parts[3]) {
		return SpanContext{}, false
	}
	decoded.Flags = flags[0] & sampledFlag
	return decoded, decoded.TraceID != [16]byte{} && decoded.SpanID != [8]byte{}
}

// decodeHex fills into from lower-case hexadecimal digits, and reports whether the
// text has exactly the right length and digits.
func decodeHex(into []byte, text string) bool {
	if !isLowerHex(text, len(into)) {
		return false
	}
	_, err := hex.Decode(into, []byte(text))
	return err == nil
}

// isLowerHex reports whether text encodes n bytes in lower-case hexadecimal digits.
func isLowerHex(text string, n int) bool {
	const digits = 2
	return len(text) == digits*n && strings.Trim(text, "0123456789abcdef") == ""
}
