package carobworld

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
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
	restored := w.StoreRestoredAt != carobinstant.Never && !w.StoreRestoredAt.Add(restoreNoticePeriod).Reached(now)
	for i := range w.Outbox.Messages {
		w.describeStore(&w.Outbox.Messages[i], restored)
	}
}

// restoreNoticePeriod is how long all messages name the era of the store after a restore. A node
// that gets none for so long reads the store itself.
const restoreNoticePeriod = time.Minute

// describeStore adds to a message what the node knows of the store: the evacuations that are to
// be known; the age of the confirmation of the route table, if the message names the table's
// version; and the era, in heartbeats, and in all messages if the store was restored recently, so
// that nodes learn of it that do not read the store. The size of load probes and reports is
// limited, so they carry neither eras nor evacuations. While there are evacuations they do not carry
// the age either: a node that learns how recent the route table is must also learn the evacuations
// of that time.
func (w *World) describeStore(message *carobmessage.Message, restored bool) {
	limited := message.LoadProbe != nil || message.Report != nil
	if !limited {
		message.Evacuations = w.EvacuationNotices
	}
	if !limited && (restored || message.Heartbeat != nil) {
		message.StoreEra = w.StoreEra
	}
	if message.RoutesVersion == w.RoutesVersion() && (!limited || len(w.EvacuationNotices) == 0) {
		message.RoutesAge = carobduration.Duration(w.Outbox.RoutesAge)
	}
}
