// Package carobname defines the syntax of the names of services, targets, nodes,
// profiles, regions and data centres.
package carobname

import "github.com/carobknot/carobknot/pkg/carobkind"

// MaxLength is the maximum length of a name, in bytes: that of a label in a host
// name.
const MaxLength = 63

// Name is a name of lower-case ASCII letters, digits, dots and dashes.
type Name string

// Check returns an Invalid error that names the field if the name is empty, too
// long or has any other character.
func (n Name) Check(field string) error {
	if n == "" {
		return carobkind.New(carobkind.Invalid, "%s: name is empty", field)
	}
	if len(n) > MaxLength {
		return carobkind.New(carobkind.Invalid, "%s: name has more than %d bytes", field, MaxLength)
	}
	for _, char := range n {
		if !isAllowed(char) {
			return carobkind.New(carobkind.Invalid, "%s: name %q has a character other than a-z, 0-9, '-' and '.'", field, string(n))
		}
	}
	return nil
}

func isAllowed(char rune) bool {
	return char >= 'a' && char <= 'z' || char >= '0' && char <= '9' || char == '-' || char == '.'
}
