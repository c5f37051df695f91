// Package caroborganisationid defines the names by which organisations are identified.
package caroborganisationid

import "github.com/carobknot/carobknot/pkg/carobkind"

// MaxLength is the maximum length of an ID in bytes.
const MaxLength = 255

// ID is the name that the operator gave an organisation. It is empty for calls without one.
// Otherwise it consists of visible ASCII characters, so that it can be the value of a header.
type ID string

// Check returns an Invalid error if the ID is empty, too long, or has any other character.
func (i ID) Check() error {
	if i == "" || len(i) > MaxLength {
		return carobkind.New(carobkind.Invalid, "organisation: the name has %d bytes, not 1 to %d", len(i), MaxLength)
	}
	for _, char := range []byte(i) {
		if char <= ' ' || char > '~' {
			return carobkind.New(carobkind.Invalid, "organisation %q: the name has a character that is not visible ASCII", string(i))
		}
	}
	return nil
}
