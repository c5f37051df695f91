// Package carobspan holds lengths of time as settings and profiles write them.
package carobspan

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Span is a length of time, written with its unit: "250ms", "5s".
type Span time.Duration

// Duration returns the span as a time.Duration.
func (s Span) Duration() time.Duration {
	return time.Duration(s)
}

// String writes the span with its unit.
func (s Span) String() string {
	return time.Duration(s).String()
}

// MarshalText writes the span with its unit.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads a span, which must not be negative.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return carobkind.New(carobkind.Invalid, "span %q is not a number with a unit such as \"250ms\"", text)
	}
	if d < 0 {
		return carobkind.New(carobkind.Invalid, "span %q is negative", text)
	}
	*s = Span(d)
	return nil
}
