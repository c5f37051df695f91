package carobheader

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop are the headers that belong to one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Upgrade",
}

// CleanRequest removes from a request what belongs to one connection or to the
// system.
func CleanRequest(hd *fasthttp.RequestHeader) {
	var reserved []string
	for key := range hd.All() {
		if IsReserved(string(key)) {
			reserved = append(reserved, string(key))
		}
	}
	for _, key := range append(reserved, hopByHop...) {
		hd.Del(key)
	}
}

// CleanResponse removes from an answer what belongs to one connection or to the
// system.
func CleanResponse(hd *fasthttp.ResponseHeader) {
	var reserved []string
	for key := range hd.All() {
		if IsReserved(string(key)) {
			reserved = append(reserved, string(key))
		}
	}
	for _, key := range append(reserved, hopByHop...) {
		hd.Del(key)
	}
}

// IsReserved reports whether a header is the system's own.
func IsReserved(key string) bool {
	return len(key) >= len(Prefix) && strings.EqualFold(key[:len(Prefix)], Prefix)
}
