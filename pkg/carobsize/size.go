// Package carobsize defines the text form of byte sizes in settings and profiles.
package carobsize

import (
	"github.com/dustin/go-humanize"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Size is a number of bytes that is encoded with its unit, such as "64KiB".
type Size int64

// The units of size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
)

// String returns the size with a binary unit, rounded. A negative size is encoded
// as 0.
func (s Size) String() string {
	return humanize.IBytes(uint64(max(s, 0)))
}

// MarshalText encodes the size as String does.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a size. It returns an Invalid error if the text is not a
// number with a known unit, or above 4 EiB.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > 1<<62 {
		return carobkind.New(carobkind.Invalid, "size %q is not a number with a unit such as \"64KiB\"", text)
	}
	*s = Size(n)
	return nil
}
