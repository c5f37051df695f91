// Package carobinstant defines points in time on a node's monotonic clock.
package carobinstant

import "time"

// Instant is a point in time in nanoseconds on the monotonic clock of one node. It
// has no meaning on another node. The zero value is Never.
type Instant int64

// Never is an instant that is never reached, such as a timer that is not set.
const Never Instant = 0

// Add returns the instant that is d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration {
	return time.Duration(i - o)
}

// Before reports whether i is before o. Never is after all other instants.
func (i Instant) Before(o Instant) bool {
	return i != Never && (o == Never || i < o)
}

// Reached reports whether i is at or before now. Never is not reached.
func (i Instant) Reached(now Instant) bool {
	return i != Never && i <= now
}

// Earlier returns the earlier of two instants; Never only if both are.
func Earlier(a, b Instant) Instant {
	if a.Before(b) {
		return a
	}
	return b
}
