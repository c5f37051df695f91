// Package carobduration defines the text form of durations in settings and profiles.
package carobduration

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Duration is a duration that is encoded with its unit, such as "250ms" or "5s".
type Duration time.Duration

// Duration converts the duration to a time.Duration.
func (d Duration) Duration() time.Duration {
	return time.Duration(d)
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a duration. It returns an Invalid error if the unit is
// missing or the duration is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return carobkind.New(carobkind.Invalid, "duration %q is not a number with a unit such as \"250ms\"", text)
	}
	if parsed < 0 {
		return carobkind.New(carobkind.Invalid, "duration %q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}
