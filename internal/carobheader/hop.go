package carobheader

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the headers that concern one connection and are not forwarded.
// Expect is among them, because each node decides by itself when a body is sent.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Upgrade", "Expect", "Http2-Settings",
}

// headerFields is implemented by the headers of requests and responses.
type headerFields interface {
	All() iter.Seq2[[]byte, []byte]
	// PeekKeys returns the name of each field. The result is valid until the next call.
	PeekKeys() [][]byte
	Add(key, value string)
	Del(key string)
}

// CleanRequest removes the headers that concern one connection and those that are
// reserved for the system.
func CleanRequest(header *fasthttp.RequestHeader) {
	clean(header)
}

// CleanResponse removes the headers that concern one connection and those that
// are reserved for the system. The headers of the names in kept stay, even if a
// Connection header names them.
func CleanResponse(header *fasthttp.ResponseHeader, kept ...string) {
	clean(header, kept...)
}

// clean removes these headers. It runs several times for each call and therefore
// allocates strings only for the headers that it removes.
func clean(header headerFields, kept ...string) {
	// The library keeps the fields that Trailer announces apart from the others, and
	// moves them to the others when Trailer is removed.
	header.Del(fasthttp.HeaderTrailer)
	var removed []string
	for key, value := range header.All() {
		if !isReserved(key) && !isHopByHop(key) {
			continue
		}
		removed = append(removed, string(key))
		if equalName(key, fasthttp.HeaderConnection) {
			removed = append(removed, connectionOptions(string(value), kept)...)
		}
	}
	removeFields(header, removed)
	// The library stores "Connection: close" separately from the other headers.
	header.Del(fasthttp.HeaderConnection)
}

func isHopByHop(key []byte) bool {
	for _, name := range hopByHop {
		if equalName(key, name) {
			return true
		}
	}
	return false
}

// equalName compares the names of headers, ignoring case.
func equalName(key []byte, name string) bool {
	return len(key) == len(name) && strings.EqualFold(string(key), name)
}

// connectionOptions returns the headers that a Connection header names, except those
// in kept. They concern one connection too.
func connectionOptions(value string, kept []string) []string {
	var names []string
	for option := range strings.SplitSeq(value, ",") {
		option = strings.TrimSpace(option)
		if option != "" && !isProtected(option) && !isAnyField([]byte(option), kept) {
			names = append(names, option)
		}
	}
	return names
}

// isProtected reports whether a header is needed by the request itself. Naming it
// in a Connection header does not remove it.
func isProtected(name string) bool {
	for _, needed := range []string{"Host", "Content-Length", "Content-Type", "Transfer-Encoding", IdempotencyKey, TraceContext} {
		if strings.EqualFold(name, needed) {
			return true
		}
	}
	return false
}

// isReserved reports whether a header is reserved for the system, in any spelling.
func isReserved(key []byte) bool {
	return len(key) >= len(Prefix) && isField(key[:len(Prefix)], Prefix)
}
