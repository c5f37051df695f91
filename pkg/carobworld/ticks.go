package carobworld

import (
	"time"

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

// EndTick completes the effects of a tick: it adds the era of the store and the evacuations to
// messages, the age of the confirmation of the route table to the messages that name the
// table's version, and the state of all three for the metrics.
func (w *World) EndTick(now carobinstant.Instant) {
	w.Outbox.RoutesVersion, w.Outbox.RoutesRejected = w.RoutesVersion(), w.RouteRejection != nil
	if w.RouteTable != nil {
		w.Outbox.Organisations = len(w.RouteTable.Organisations)
	}
	w.Outbox.StoreEra, w.Outbox.Evacuations = w.StoreEra, w.ActiveEvacuations()
	w.nameStoreEra(now)
	for i := range w.Outbox.Messages {
		w.Outbox.Messages[i].Evacuations = w.EvacuationNotices
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

// restoreNoticePeriod is how long all messages name the era of the store after a restore. A node
// that gets none for so long reads the store itself.
const restoreNoticePeriod = time.Minute

// nameStoreEra adds the era of the store to the heartbeats of a tick, and to all messages for a
// while after a restore, so that nodes learn of it that do not read the store.
func (w *World) nameStoreEra(now carobinstant.Instant) {
	recent := w.StoreRestoredAt != carobinstant.Never && !w.StoreRestoredAt.Add(restoreNoticePeriod).Reached(now)
	for i := range w.Outbox.Messages {
		if message := &w.Outbox.Messages[i]; recent || message.Heartbeat != nil {
			message.StoreEra = w.StoreEra
		}
	}
}
