// Package carobsize holds amounts of bytes as settings and profiles write them.
package carobsize

import (
	"github.com/dustin/go-humanize"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Size is an amount of bytes, written with its unit: "64KiB".
type Size int64

// Units of size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
)

// String writes the size with its unit.
func (s Size) String() string {
	return humanize.IBytes(uint64(max(s, 0)))
}

// MarshalText writes the size with its unit.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > 1<<62 {
		return carobkind.New(carobkind.Invalid, "size %q is not a number with a unit such as \"64KiB\"", text)
	}
	*s = Size(n)
	return nil
}
