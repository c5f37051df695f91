// Package carobshutdown brings a node to a graceful end.
package carobshutdown

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System stops the node once it is asked to and nothing is in flight.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run starts a shutdown when asked, and ends it when the tables are empty.
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	if w.Inbox.Stop && !w.Stopping {
		w.Stopping = true
		w.Self.Beat++
	}
	w.Outbox.Stopped = w.Stopping && w.Calls.Len() == 0 && w.Jobs.Len() == 0
}
