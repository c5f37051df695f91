package carobworld

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobconfirmation"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
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

// EndTick completes the effects of a tick: it adds to messages what they say of the store, and
// the state of the store and of the route table for the metrics.
func (w *World) EndTick(now carobinstant.Instant) {
	w.Outbox.RoutesVersion, w.Outbox.RoutesRejected = w.RoutesVersion(), w.RouteRejection != nil
	if w.RouteTable != nil {
		w.Outbox.Organisations = len(w.RouteTable.Organisations)
	}
	w.Outbox.StoreEra, w.Outbox.Evacuations = w.StoreEra, w.ActiveEvacuations()
	if w.RoutesConfirmedAt != carobinstant.Never {
		w.Outbox.RoutesAge = max(1, now.Sub(w.RoutesConfirmedAt))
	}
	if w.RoutesReadAt != carobinstant.Never {
		w.Outbox.RoutesReadAge = max(1, now.Sub(w.RoutesReadAt))
	}
	restored := w.StoreRestoredAt != carobinstant.Never && !w.StoreRestoredAt.Add(restoreNoticePeriod).Reached(now)
	for i := range w.Outbox.Messages {
		w.describeStore(now, &w.Outbox.Messages[i], restored)
	}
}

// restoreNoticePeriod is how long all messages name the era of the store after a restore. A node
// that gets none for so long reads the store itself.
const restoreNoticePeriod = time.Minute

// describeStore adds to a message what the node knows of the store: the evacuations that are to
// be known; the confirmation of the route table; and the era, in heartbeats, and in all messages
// if the store was restored recently, so that nodes learn of it that do not read the store. The
// size of load probes and reports is limited, so they carry nothing of it: a node that learns how
// recent the route table is must also learn the evacuations of that time.
func (w *World) describeStore(now carobinstant.Instant, message *carobmessage.Message, restored bool) {
	if message.LoadProbe != nil || message.Report != nil {
		return
	}
	message.Evacuations = w.EvacuationNotices
	if restored || message.Heartbeat != nil {
		message.StoreEra = w.StoreEra
	}
	message.Clock = now
	message.Confirmation = w.confirmationFor(message)
}

// confirmationFor returns the confirmation of the route table on the clock of the receiver of a
// message. It returns nil if there is none, if the clock is unknown, or if the message names another
// version.
func (w *World) confirmationFor(message *carobmessage.Message) *carobconfirmation.Confirmation {
	bound, ok := w.ClockBounds.Get(message.To)
	if !ok || message.RoutesVersion != w.RoutesVersion() {
		return nil
	}
	at := bound.Convert(w.RoutesConfirmedAt)
	if at == carobinstant.Never {
		return nil
	}
	return &carobconfirmation.Confirmation{At: at, Clock: bound.Incarnation}
}
