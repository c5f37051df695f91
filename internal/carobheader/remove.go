package carobheader

import (
	"bytes"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// removeFields removes all fields of the given names. The other fields of one name keep their
// order, which is significant; the library's Del puts the last field into the place of a
// removed one.
func removeFields(header headerFields, names []string) {
	if len(names) == 0 {
		return
	}
	repeated := repeatedFields(header)
	for _, name := range names {
		header.Del(name)
	}
	for _, f := range repeated {
		header.Del(f.name)
	}
	for _, f := range repeated {
		isRemoved := func(name string) bool { return strings.EqualFold(name, f.name) }
		if !slices.ContainsFunc(names, isRemoved) {
			header.Add(f.name, f.value)
		}
	}
}

// framedHeader is implemented by the headers of requests and responses.
type framedHeader interface {
	headerFields
	Peek(key string) []byte
	SetContentLength(length int)
}

// SetContentLength sets the length of the body that follows a header; it may be ChunkedLength.
// The library's method removes Transfer-Encoding as Del does.
func SetContentLength(header framedHeader, length int) {
	if length >= 0 && len(header.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		removeFields(header, []string{fasthttp.HeaderTransferEncoding})
	}
	header.SetContentLength(length)
}

// field is a field of a header.
type field struct {
	name, value string
}

// repeatedFields returns the fields whose names occur more than once, in their order; nil if
// there are none.
func repeatedFields(header headerFields) []field {
	keys := header.PeekKeys()
	isRepeated := func(key []byte) bool {
		first := slices.IndexFunc(keys, func(other []byte) bool { return bytes.Equal(key, other) })
		return slices.ContainsFunc(keys[first+1:], func(other []byte) bool { return bytes.Equal(key, other) })
	}
	if !slices.ContainsFunc(keys, isRepeated) {
		return nil
	}
	var fields []field
	for key, value := range header.All() {
		if isRepeated(key) {
			fields = append(fields, field{string(key), string(value)})
		}
	}
	return fields
}
