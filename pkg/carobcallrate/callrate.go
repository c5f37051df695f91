// Package carobcallrate defines rates of calls.
package carobcallrate

import (
	"math"
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// CallRate is a number of calls a second. As a limit, 0 means that there is none.
type CallRate float64

// minLimit is the lowest limit. A target whose limit is 0 still gets a call now and then,
// since only its responses show when the limit ends.
const minLimit CallRate = 0.25

// ParseLimit decodes a limit from a decimal number of calls a second. A lower one than
// minLimit counts as minLimit. The error is of kind Invalid if text is not a finite number
// of at least 0.
func ParseLimit(text string) (CallRate, error) {
	const bits = 64
	number, err := strconv.ParseFloat(text, bits)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, carobkind.New(carobkind.Invalid, "rate limit %q is not a number of at least 0", text)
	}
	return max(minLimit, CallRate(number)), nil
}

// String returns the rate as ParseLimit reads it.
func (r CallRate) String() string {
	const shortest, bits = -1, 64
	return strconv.FormatFloat(float64(r), 'f', shortest, bits)
}
