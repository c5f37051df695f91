package carobheader

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// Replace gives a header exactly one field of a name. CleanRequest must have cleaned the
// header: a field that a Trailer field announces would not be sent.
//
// The library's Set replaces one field and leaves further ones of the same name, and neither
// Set nor Del finds other spellings.
func Replace(header *fasthttp.RequestHeader, name, value string) {
	found := fieldsLike(header, name)
	if len(found) > 1 || len(found) == 1 && !strings.EqualFold(found[0], name) {
		removeFields(header, found)
	}
	header.Set(name, value)
}

// Remove removes all fields that a target could take for a field of one of the names.
func Remove(header *fasthttp.RequestHeader, names ...string) {
	removeFields(header, fieldsLike(header, names...))
}

// fieldsLike returns the names of the fields that a target could take for a field of one of the
// names, once for each field.
func fieldsLike(header *fasthttp.RequestHeader, names ...string) []string {
	var found []string
	for key := range header.All() {
		if isAnyField(key, names) {
			found = append(found, string(key))
		}
	}
	return found
}

func isAnyField(key []byte, names []string) bool {
	for _, name := range names {
		if isField(key, name) {
			return true
		}
	}
	return false
}

// isField reports whether a target could take the field key for the field name. Case does not
// matter in HTTP. Servers that pass fields to programs as environment variables also write
// all marks as underscores, so that X-A, X_A and X.A are one field there.
func isField(key []byte, name string) bool {
	if len(key) != len(name) {
		return false
	}
	for i, c := range key {
		if foldByte(c) != foldByte(name[i]) {
			return false
		}
	}
	return true
}

// foldByte returns the same byte for both cases of a letter, and for all marks.
func foldByte(c byte) byte {
	switch {
	case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		return c
	case 'A' <= c && c <= 'Z':
		return c + 'a' - 'A'
	default:
		return '-'
	}
}
