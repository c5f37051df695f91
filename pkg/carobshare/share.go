// Package carobshare defines the text form of percentages in settings and profiles.
package carobshare

import (
	"strconv"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Share is a fraction between 0 and 1 that is encoded as a percentage, such as "5%".
type Share float64

const percent = 100

// MarshalText encodes the share as a percentage.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(s)*percent, 'g', -1, 64) + "%"), nil
}

// UnmarshalText decodes a percentage. It returns an Invalid error unless the text is
// between "0%" and "100%".
func (s *Share) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "%")
	f, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(f >= 0 && f <= percent) {
		return carobkind.New(carobkind.Invalid, "share %q is not between \"0%%\" and \"100%%\"", text)
	}
	*s = Share(f / percent)
	return nil
}
