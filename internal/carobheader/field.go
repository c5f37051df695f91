package carobheader

import (
	"bytes"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// parseField checks one line of a header, which is given without its line feed, by the
// grammar of HTTP/1.1, and returns the field's name and value. The error has kind Invalid.
func parseField(line []byte) (name, value []byte, err error) {
	field, ended := bytes.CutSuffix(line, []byte("\r"))
	name, value, found := bytes.Cut(field, []byte(":"))
	switch {
	case !ended || !found:
		return nil, nil, carobkind.New(carobkind.Invalid, "a header line is malformed")
	case !isToken(name):
		return nil, nil, invalidNameError()
	case hasControl(value):
		return nil, nil, carobkind.New(carobkind.Invalid, "a header value has control characters")
	}
	return name, bytes.Trim(value, " \t"), nil
}

func invalidNameError() error {
	return carobkind.New(carobkind.Invalid, "a header name has invalid characters")
}

// framing counts the fields that determine where the body of a message ends.
type framing struct {
	lengths, encodings int
}

// add checks a field and counts it if it is one of these. The error has kind Invalid.
func (f *framing) add(name, value []byte) error {
	switch {
	case equalName(name, "Content-Length"):
		f.lengths++
		if !isNumber(value) {
			return carobkind.New(carobkind.Invalid, "Content-Length is not a number")
		}
	case equalName(name, "Transfer-Encoding"):
		f.encodings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return carobkind.New(carobkind.Invalid, "Transfer-Encoding is not \"chunked\"")
		}
	}
	return nil
}

// check rejects a message whose body could end in two places. The error has kind Invalid.
func (f *framing) check() error {
	switch {
	case f.lengths > 1:
		return carobkind.New(carobkind.Invalid, "a message must not have more than one Content-Length header")
	case f.lengths > 0 && f.encodings > 0:
		return carobkind.New(carobkind.Invalid, "a message must not have both Content-Length and Transfer-Encoding")
	default:
		return nil
	}
}

// tokenBytes has true for the bytes that a token, such as the name of a field, consists of.
var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()

// isToken reports whether text is a token.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// isNumber reports whether text consists of digits.
func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) > 0
}

// hasControl reports whether text has a control character other than a tab.
func hasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
