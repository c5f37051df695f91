package carobheader

import (
	"iter"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop are the headers that belong to one connection and are not passed on.
// Expect is among them since each hop decides by itself when a body goes.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Upgrade", "Expect", "Http2-Settings",
}

// fields is what requests and answers have in common.
type fields interface {
	All() iter.Seq2[[]byte, []byte]
	Del(key string)
}

// CleanRequest removes from a request what belongs to one connection or to the
// system.
func CleanRequest(hd *fasthttp.RequestHeader) {
	clean(hd)
}

// CleanResponse removes from an answer what belongs to one connection or to the
// system.
func CleanResponse(hd *fasthttp.ResponseHeader) {
	clean(hd)
}

// clean runs several times for each call, so that it makes a string only of what
// is there to be removed.
func clean(hd fields) {
	var unwanted []string
	for key, value := range hd.All() {
		if !isReserved(key) && !isHopByHop(key) {
			continue
		}
		unwanted = append(unwanted, string(key))
		if equal(key, fasthttp.HeaderConnection) {
			unwanted = append(unwanted, named(string(value))...)
		}
	}
	for _, name := range unwanted {
		hd.Del(name)
	}
	// These two the library keeps apart from the others.
	hd.Del(fasthttp.HeaderConnection)
	hd.Del(fasthttp.HeaderTrailer)
}

func isHopByHop(key []byte) bool {
	for _, name := range hopByHop {
		if equal(key, name) {
			return true
		}
	}
	return false
}

// equal compares the names of headers, for which case does not matter.
func equal(key []byte, name string) bool {
	return len(key) == len(name) && strings.EqualFold(string(key), name)
}

// named lists the headers that a Connection header names, which belong to the
// connection too.
func named(value string) []string {
	var names []string
	for option := range strings.SplitSeq(value, ",") {
		option = strings.TrimSpace(option)
		if option != "" && !protected(option) {
			names = append(names, option)
		}
	}
	return names
}

// protected reports whether a header is needed for the message itself, so that
// no Connection header can have it removed.
func protected(name string) bool {
	for _, needed := range []string{"Host", "Content-Length", "Content-Type", "Transfer-Encoding", Key, Trace} {
		if strings.EqualFold(name, needed) {
			return true
		}
	}
	return false
}

// IsReserved reports whether a header is the system's own.
func IsReserved(key string) bool {
	return len(key) >= len(Prefix) && strings.EqualFold(key[:len(Prefix)], Prefix)
}

func isReserved(key []byte) bool {
	return len(key) >= len(Prefix) && equal(key[:len(Prefix)], Prefix)
}
