// Package carobshare holds parts of a whole as settings and profiles write them.
package carobshare

import (
	"strconv"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Share is a part of a whole between 0 and 1, written "5%".
type Share float64

const percent = 100

// MarshalText writes the share in per cent.
func (s Share) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(s)*percent, 'g', -1, 64) + "%"), nil
}

// UnmarshalText reads a share in per cent.
func (s *Share) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "%")
	f, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || !(f >= 0 && f <= percent) {
		return carobkind.New(carobkind.Invalid, "share %q is not between \"0%%\" and \"100%%\"", text)
	}
	*s = Share(f / percent)
	return nil
}
