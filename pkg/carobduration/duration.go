// Package carobduration defines the text form of durations in settings and profiles.
package carobduration

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Duration is a duration that is encoded with its unit, such as "250ms" or "5s".
type Duration time.Duration

// Duration converts the duration to a time.Duration.
func (s Duration) Duration() time.Duration {
	return time.Duration(s)
}

// String returns the duration with its unit.
func (s Duration) String() string {
	return time.Duration(s).String()
}

// MarshalText encodes the duration with its unit.
func (s Duration) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a duration. It returns an Invalid error if the unit is missing
// or the duration is negative.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return carobkind.New(carobkind.Invalid, "span %q is not a number with a unit such as \"250ms\"", text)
	}
	if d < 0 {
		return carobkind.New(carobkind.Invalid, "span %q is negative", text)
	}
	*s = Duration(d)
	return nil
}
