package carobheader

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Check refuses requests that two readers could understand in two ways, so that
// a second request might be hidden in the first. It looks at the bytes as they
// came, since the library forgives some of this and forgets what it forgave.
func Check(hd *fasthttp.RequestHeader) error {
	if err := checkLine(hd); err != nil {
		return err
	}
	seen := map[string]int{}
	for line := range bytes.SplitSeq(hd.RawHeaders(), []byte("\n")) {
		if len(line) == 0 || string(line) == "\r" {
			continue
		}
		if err := checkField(line, seen); err != nil {
			return err
		}
	}
	switch {
	case seen["host"] != 1:
		return carobkind.New(carobkind.Invalid, "a request must have one Host header")
	case seen["content-length"] > 1:
		return carobkind.New(carobkind.Invalid, "a request must not have two lengths")
	case seen["content-length"] > 0 && seen["transfer-encoding"] > 0:
		return carobkind.New(carobkind.Invalid, "a request must not have both a length and a transfer encoding")
	default:
		return nil
	}
}

// checkLine checks the request line.
func checkLine(hd *fasthttp.RequestHeader) error {
	uri := hd.RequestURI()
	switch {
	case string(hd.Protocol()) != "HTTP/1.1":
		return carobkind.New(carobkind.Invalid, "calls are made in HTTP/1.1")
	case hd.IsConnect():
		return carobkind.New(carobkind.Invalid, "CONNECT is not served")
	case !bytes.HasPrefix(uri, []byte("/")) && (!hd.IsOptions() || string(uri) != "*"):
		return carobkind.New(carobkind.Invalid, "the request's path must begin with a slash")
	case bytes.ContainsFunc(uri, isControl) || bytes.ContainsAny(uri, " #"):
		return carobkind.New(carobkind.Invalid, "the request's path has bytes that must be escaped")
	default:
		return nil
	}
}

// checkField checks one line of the header, and counts the fields that must not
// come twice.
func checkField(line []byte, seen map[string]int) error {
	text, ended := bytes.CutSuffix(line, []byte("\r"))
	name, value, found := bytes.Cut(text, []byte(":"))
	switch {
	case !ended || !found || len(name) == 0:
		return carobkind.New(carobkind.Invalid, "a header line is malformed")
	case bytes.ContainsFunc(name, isNotToken):
		return carobkind.New(carobkind.Invalid, "a header's name has bytes that names must not have")
	case bytes.ContainsFunc(value, isControl):
		return carobkind.New(carobkind.Invalid, "a header's value has control bytes")
	}
	return checkValue(strings.ToLower(string(name)), string(bytes.TrimSpace(value)), seen)
}

// checkValue checks the fields that say where a request ends and where it goes.
func checkValue(name, value string, seen map[string]int) error {
	switch name {
	case "host":
		seen[name]++
	case "content-length":
		seen[name]++
		if value == "" || strings.ContainsFunc(value, isNotDigit) {
			return carobkind.New(carobkind.Invalid, "the length is not a number")
		}
	case "transfer-encoding":
		seen[name]++
		if !strings.EqualFold(value, "chunked") {
			return carobkind.New(carobkind.Invalid, "the transfer encoding is not \"chunked\"")
		}
	case "connection":
		return checkConnection(value)
	}
	return nil
}

// checkConnection refuses a Connection header that would have a needed header
// removed on the way.
func checkConnection(value string) error {
	for option := range strings.SplitSeq(value, ",") {
		if option = strings.TrimSpace(option); protected(option) || IsReserved(option) {
			return carobkind.New(carobkind.Invalid, "the Connection header names a header that belongs to the request")
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
