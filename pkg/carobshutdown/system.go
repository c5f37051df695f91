// Package carobshutdown brings a node to a graceful end.
package carobshutdown

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Patience is how long a node that has nothing in flight any more waits until
	// the new homes of its calls' keys have the ends of the calls.
	Patience time.Duration
}

// System stops the node once it is asked to and nothing is in flight. That it is
// asked to is known from the start of the tick, so that no system starts more.
type System struct {
	config Config
	// idle is since when nothing is in flight; Never while something is.
	idle carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run ends a shutdown when the tables are empty.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	if !w.Stopping || w.Calls.Len() > 0 || w.Jobs.Len() > 0 {
		s.idle = carobinstant.Never
		return
	}
	if s.idle == carobinstant.Never {
		s.idle = now
	}
	due := s.idle.Add(s.config.Patience)
	w.WakeAt(due)
	w.Outbox.Stopped = w.Unsettled.Len() == 0 || due.Reached(now)
}
