// Package carobpause detects that the node was paused, because its process was stopped
// or its VM was frozen. Decisions from before a pause may be out of date.
package carobpause

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// MaxTickInterval is the longest time between two ticks.
	MaxTickInterval time.Duration
	// Threshold is the time between two ticks above which the node counts as paused. It
	// is longer than MaxTickInterval.
	Threshold time.Duration
}

// System marks the ticks that follow a pause.
type System struct {
	config Config
	// lastTick is the instant of the previous tick; Never before the first.
	lastTick carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run sets Paused if more than Threshold has passed since the previous tick, and
// schedules the next tick.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	world.Paused = s.lastTick != carobinstant.Never && now.Sub(s.lastTick) > s.config.Threshold
	s.lastTick = now
	world.WakeAt(now.Add(s.config.MaxTickInterval))
}
