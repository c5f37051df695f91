package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

// WakeAt requests a tick no later than the given instant.
func (w *World) WakeAt(at carobinstant.Instant) {
	w.wake = carobinstant.Earlier(w.wake, at)
}

// Wake returns when the next tick is due even if no input arrives; Never if no system
// requested one.
func (w *World) Wake() carobinstant.Instant {
	return w.wake
}

// BeginTick starts a tick: it sets the input, clears the effects and the wake time, and
// applies a requested shutdown, which increases this node's update sequence.
func (w *World) BeginTick(input carobinbox.Inbox) {
	w.Inbox = input
	w.Outbox = caroboutbox.Outbox{}
	w.wake = carobinstant.Never
	if input.ShutdownDeadline != carobinstant.Never {
		w.ShutdownDeadline = input.ShutdownDeadline
	}
	if input.Stop && !w.Stopping {
		w.Stopping = true
		w.Self.Sequence++
	}
}

// EndTick completes the effects of a tick: it adds the age of the confirmation of the route
// table to the messages that name the table's version, and the state of the route table for
// the metrics.
func (w *World) EndTick(now carobinstant.Instant) {
	w.Outbox.RoutesVersion, w.Outbox.RoutesRejected = w.RoutesVersion(), w.RouteRejection != nil
	if w.RouteTable != nil {
		w.Outbox.Organisations = len(w.RouteTable.Organisations)
	}
	if w.RoutesConfirmedAt == carobinstant.Never {
		return
	}
	age := carobduration.Duration(max(1, now.Sub(w.RoutesConfirmedAt)))
	w.Outbox.RoutesAge = age.Duration()
	for i := range w.Outbox.Messages {
		if message := &w.Outbox.Messages[i]; message.RoutesVersion == w.RoutesVersion() {
			message.RoutesAge = age
		}
	}
}
