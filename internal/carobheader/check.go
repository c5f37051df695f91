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
	counts := map[string]int{}
	for line := range bytes.SplitSeq(header.RawHeaders(), []byte("\n")) {
		if len(line) == 0 || string(line) == "\r" {
			continue
		}
		if err := checkField(line, counts); err != nil {
			return err
		}
	}
	switch {
	case counts["host"] != 1:
		return carobkind.New(carobkind.Invalid, "a request must have exactly one Host header")
	case counts["content-length"] > 1:
		return carobkind.New(carobkind.Invalid, "a request must not have more than one Content-Length header")
	case counts["content-length"] > 0 && counts["transfer-encoding"] > 0:
		return carobkind.New(carobkind.Invalid, "a request must not have both Content-Length and Transfer-Encoding")
	default:
		return nil
	}
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
	case bytes.ContainsFunc(uri, isControl) || bytes.ContainsAny(uri, " #"):
		return carobkind.New(carobkind.Invalid, "the path has characters that must be escaped")
	default:
		return nil
	}
}

// checkField checks one line of the header. It counts the fields that must not be
// repeated in counts, by name in lower case.
func checkField(line []byte, counts map[string]int) error {
	field, ended := bytes.CutSuffix(line, []byte("\r"))
	name, value, found := bytes.Cut(field, []byte(":"))
	switch {
	case !ended || !found || len(name) == 0:
		return carobkind.New(carobkind.Invalid, "a header line is malformed")
	case bytes.ContainsFunc(name, isNotToken):
		return carobkind.New(carobkind.Invalid, "a header name has invalid characters")
	case bytes.ContainsFunc(value, isControl):
		return carobkind.New(carobkind.Invalid, "a header value has control characters")
	}
	return checkValue(strings.ToLower(string(name)), string(bytes.TrimSpace(value)), counts)
}

// checkValue checks the fields that determine where a request ends and where it
// is sent.
func checkValue(name, value string, counts map[string]int) error {
	switch name {
	case "host":
		counts[name]++
	case "content-length":
		counts[name]++
		if value == "" || strings.ContainsFunc(value, isNotDigit) {
			return carobkind.New(carobkind.Invalid, "Content-Length is not a number")
		}
	case "transfer-encoding":
		counts[name]++
		if !strings.EqualFold(value, "chunked") {
			return carobkind.New(carobkind.Invalid, "Transfer-Encoding is not \"chunked\"")
		}
	case "connection":
		return checkConnection(value)
	}
	return nil
}

// checkConnection rejects a Connection header that would make a proxy remove a
// header that is needed, such as Host or Content-Length.
func checkConnection(value string) error {
	for option := range strings.SplitSeq(value, ",") {
		if option = strings.TrimSpace(option); isProtected(option) || IsReserved(option) {
			return carobkind.New(carobkind.Invalid, "the Connection header names a header that must not be removed")
		}
	}
	return nil
}

func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == 0x7f
}

func isNotDigit(r rune) bool {
	return r < '0' || r > '9'
}

func isNotToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
}
