// Package carobword checks the words that name things: services, targets,
// nodes, profiles, regions and data centres.
package carobword

import "github.com/carobknot/carobknot/pkg/carobkind"

// MaxLength is the longest word, that of a label in a host name.
const MaxLength = 63

// Word is a name of lower-case letters, digits, dots and dashes.
type Word string

// Check returns an Invalid error that names the field if the word is not one.
func (w Word) Check(field string) error {
	if w == "" {
		return carobkind.New(carobkind.Invalid, "%s: name is empty", field)
	}
	if len(w) > MaxLength {
		return carobkind.New(carobkind.Invalid, "%s: name has more than %d bytes", field, MaxLength)
	}
	for _, r := range w {
		if !isWordRune(r) {
			return carobkind.New(carobkind.Invalid, "%s: name %q has a character other than a-z, 0-9, '-' and '.'", field, string(w))
		}
	}
	return nil
}

func isWordRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '.'
}
