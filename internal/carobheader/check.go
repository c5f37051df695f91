package carobheader

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Check rejects requests that two parsers could understand differently, so that a
// second request might be smuggled inside the first. It checks the bytes as they
// were received, because the library accepts some malformed headers and
// normalises them. The error has kind Invalid.
func Check(header *fasthttp.RequestHeader) error {
	if err := checkRequestLine(header); err != nil {
		return err
	}
	hosts := 0
	var found framing
	for line := range bytes.SplitSeq(header.RawHeaders(), []byte("\n")) {
		if len(line) == 0 || string(line) == "\r" {
			continue
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		if err := found.add(name, value); err != nil {
			return err
		}
		switch {
		case equalName(name, fasthttp.HeaderHost):
			hosts++
		case equalName(name, fasthttp.HeaderConnection):
			if err := checkConnection(string(value)); err != nil {
				return err
			}
		}
	}
	if hosts != 1 {
		return carobkind.New(carobkind.Invalid, "a request must have exactly one Host header")
	}
	return found.check()
}

// checkRequestLine checks the protocol, the method and the path.
func checkRequestLine(header *fasthttp.RequestHeader) error {
	uri := header.RequestURI()
	switch {
	case string(header.Protocol()) != "HTTP/1.1":
		return carobkind.New(carobkind.Invalid, "the protocol must be HTTP/1.1")
	case header.IsConnect():
		return carobkind.New(carobkind.Invalid, "the method CONNECT is not supported")
	case !bytes.HasPrefix(uri, []byte("/")) && (!header.IsOptions() || string(uri) != "*"):
		return carobkind.New(carobkind.Invalid, "the path must begin with a slash")
	case hasControl(uri) || bytes.ContainsAny(uri, " #"):
		return carobkind.New(carobkind.Invalid, "the path has characters that must be escaped")
	default:
		return nil
	}
}

// checkConnection rejects a Connection header that would make a proxy remove a
// header that is needed, such as Host or Content-Length.
func checkConnection(value string) error {
	for option := range strings.SplitSeq(value, ",") {
		if option = strings.TrimSpace(option); isProtected(option) || isReserved([]byte(option)) {
			return carobkind.New(carobkind.Invalid, "the Connection header names a header that must not be removed")
		}
	}
	return nil
}
