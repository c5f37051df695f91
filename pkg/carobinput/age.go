package carobinput

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// unknownAge is the age of a value that was never received.
const unknownAge = -1

// Age returns an input with the time from at to now in milliseconds, or -1 if at is
// Never.
func Age(name string, now, at carobinstant.Instant) Input {
	if at == carobinstant.Never {
		return Input{Name: name, Value: unknownAge}
	}
	return Input{Name: name, Value: Milliseconds(now.Sub(at))}
}

// Milliseconds returns a duration in milliseconds, rounded to hundredths.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
