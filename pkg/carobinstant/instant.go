// Package carobinstant holds points in time on a node's own clock.
package carobinstant

import "time"

// Instant is a point in time in nanoseconds. It is read from one node's clock,
// which never goes back, and means nothing on another node. Zero is never.
type Instant int64

// Never is the instant that does not come.
const Never Instant = 0

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration {
	return time.Duration(i - o)
}

// Before reports whether i comes before o. Never comes before nothing.
func (i Instant) Before(o Instant) bool {
	return i != Never && (o == Never || i < o)
}

// Reached reports whether the instant i has come at now.
func (i Instant) Reached(now Instant) bool {
	return i != Never && i <= now
}

// Earlier returns the earlier of two instants.
func Earlier(a, b Instant) Instant {
	if a.Before(b) {
		return a
	}
	return b
}
