// Package carobpause finds out when the node was paused: the process stopped, or
// its VM frozen. What was decided before may no longer be wanted then.
package carobpause

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Period is the longest time between two ticks.
	Period time.Duration
	// Allowance is the time between two ticks from which on the node counts as
	// paused. It is longer than Period.
	Allowance time.Duration
}

// System marks the ticks that come after a pause.
type System struct {
	config Config
	// last is the instant of the last tick; Never before the first.
	last carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run compares the instant of this tick with that of the last.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	w.Paused = s.last != carobinstant.Never && now.Sub(s.last) > s.config.Allowance
	s.last = now
	w.WakeAt(now.Add(s.config.Period))
}
