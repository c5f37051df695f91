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
	if len(repeated) > 0 {
		restoreFields(header, repeated, names)
	}
}

// restoreFields replaces fields by the same ones in their order, except those of the removed
// names.
func restoreFields(header headerFields, fields []field, removed []string) {
	isRemoved, isDeleted := map[string]bool{}, map[string]bool{}
	for _, name := range removed {
		isRemoved[strings.ToLower(name)] = true
	}
	for _, f := range fields {
		if !isDeleted[f.name] {
			header.Del(f.name)
			isDeleted[f.name] = true
		}
	}
	for _, f := range fields {
		if !isRemoved[strings.ToLower(f.name)] {
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
// there are none. The names are sorted, because a client may send thousands.
func repeatedFields(header headerFields) []field {
	keys := header.PeekKeys()
	slices.SortFunc(keys, bytes.Compare)
	if !hasRepeated(keys) {
		return nil
	}
	var fields []field
	for key, value := range header.All() {
		first, _ := slices.BinarySearchFunc(keys, key, bytes.Compare)
		if first+1 < len(keys) && bytes.Equal(keys[first+1], key) {
			fields = append(fields, field{string(key), string(value)})
		}
	}
	return fields
}

// hasRepeated reports whether sorted names contain one twice.
func hasRepeated(sorted [][]byte) bool {
	for i := 1; i < len(sorted); i++ {
		if bytes.Equal(sorted[i-1], sorted[i]) {
			return true
		}
	}
	return false
}
