package carobheader

import (
	"bytes"
	"net/http"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// CheckResponse rejects the head of a response that breaks the grammar of HTTP/1.1, or whose
// body could end in two places. A server that sends such a head is faulty, so that nothing of
// its response can be relied on, not even a statement that the request did not run. It checks
// the bytes as they were received, from the status line to the empty line, because HTTP
// libraries accept some malformed heads. The error has kind Invalid.
func CheckResponse(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(statusLine); err != nil {
		return err
	}
	found, err := checkFields(fields)
	if err != nil {
		return err
	}
	if found.encodings > 0 && !bytes.HasPrefix(statusLine, []byte("HTTP/1.1")) {
		return carobkind.New(carobkind.Invalid, "Transfer-Encoding needs HTTP/1.1")
	}
	return found.check()
}

// CheckTrailers rejects the fields behind a body in chunks, up to the empty line, if they break
// the grammar of HTTP/1.1 or frame the body once more. The error has kind Invalid.
func CheckTrailers(fields []byte) error {
	found, err := checkFields(fields)
	if err == nil && found != (framing{}) {
		return carobkind.New(carobkind.Invalid, "trailers must not frame the body")
	}
	return err
}

// CheckNames rejects a header that net/http has decoded if a name is not a token. That library
// accepts blanks in names and rejects other bytes that the grammar of HTTP/1.1 excludes. The
// error has kind Invalid.
func CheckNames(header http.Header) error {
	for name := range header {
		if !isToken([]byte(name)) {
			return invalidNameError()
		}
	}
	return nil
}

// checkFields checks the lines of fields up to the empty line, and counts those that frame the
// body. The error has kind Invalid.
func checkFields(fields []byte) (framing, error) {
	var found framing
	fields, ended := bytes.CutSuffix(fields, []byte("\r\n"))
	if !ended {
		return found, carobkind.New(carobkind.Invalid, "a header must end with an empty line")
	}
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\n"))
		name, value, err := parseField(line)
		if err != nil {
			return found, err
		}
		if err := found.add(name, value); err != nil {
			return found, err
		}
	}
	return found, nil
}

// checkStatusLine checks the first line of a response, without its line feed. The blank
// behind the status may be missing: servers that send no reason leave it out.
func checkStatusLine(line []byte) error {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case !ended || !isVersion1(version):
		return carobkind.New(carobkind.Invalid, "a response must begin with a status line of HTTP/1")
	case !isStatus(status):
		return carobkind.New(carobkind.Invalid, "the status of a response must be a number from 100 to 599")
	case hasControl(reason):
		return carobkind.New(carobkind.Invalid, "the reason of a response has control characters")
	default:
		return nil
	}
}

// isVersion1 reports whether a version is HTTP/1.0, HTTP/1.1 or a later minor version of
// HTTP/1, which is compatible with them.
func isVersion1(version []byte) bool {
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	return found && len(minor) == 1 && isNumber(minor)
}

// isStatus reports whether text is a status that RFC 9110 allows: three digits of which the
// first one names one of five classes.
func isStatus(text []byte) bool {
	const digits = 3
	return len(text) == digits && isNumber(text) && text[0] >= '1' && text[0] <= '5'
}
