// Package carobrate holds rates of bytes as settings write them.
package carobrate

import (
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Rate is a number of bytes a second, written "2KiB/s".
type Rate float64

const suffix = "/s"

// Over returns the bytes that the rate allows in d.
func (r Rate) Over(d time.Duration) float64 {
	return float64(r) * d.Seconds()
}

// MarshalText writes the rate with its unit.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(carobsize.Size(r).String() + suffix), nil
}

// UnmarshalText reads a rate.
func (r *Rate) UnmarshalText(text []byte) error {
	amount, ok := strings.CutSuffix(string(text), suffix)
	if !ok {
		return carobkind.New(carobkind.Invalid, "rate %q does not end in %q", text, suffix)
	}
	var sz carobsize.Size
	if err := sz.UnmarshalText([]byte(amount)); err != nil {
		return err
	}
	*r = Rate(sz)
	return nil
}
