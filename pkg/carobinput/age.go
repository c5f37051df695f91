package carobinput

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// unknown stands for the age of what was never heard.
const unknown = -1

// Age returns how old something is in milliseconds, or -1 if it never came.
func Age(name string, now, at carobinstant.Instant) Input {
	if at == carobinstant.Never {
		return Input{Name: name, Value: unknown}
	}
	return Input{Name: name, Value: Ms(now.Sub(at))}
}

// Ms returns a length of time in milliseconds, to the hundredth.
func Ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
