// Package carobrate defines the text form of byte rates in settings.
package carobrate

import (
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Rate is a number of bytes per second that is encoded with its unit, such as
// "2KiB/s".
type Rate float64

const perSecond = "/s"

// BytesIn returns the number of bytes that the rate allows in d.
func (r Rate) BytesIn(d time.Duration) float64 {
	return float64(r) * d.Seconds()
}

// MarshalText encodes the rate with its unit, rounded as a Size is.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(carobsize.Size(r).String() + perSecond), nil
}

// UnmarshalText decodes a rate. It returns an Invalid error if the unit is missing.
func (r *Rate) UnmarshalText(text []byte) error {
	amount, ok := strings.CutSuffix(string(text), perSecond)
	if !ok {
		return carobkind.New(carobkind.Invalid, "rate %q does not end in %q", text, perSecond)
	}
	var size carobsize.Size
	if err := size.UnmarshalText([]byte(amount)); err != nil {
		return err
	}
	*r = Rate(size)
	return nil
}
