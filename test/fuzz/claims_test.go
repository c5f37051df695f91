package fuzz

import (
	"slices"

	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
)

// applyClaimEffects carries out the effects of a tick that concern the claim streams:
// subscriptions, and appends that are not retried.
func (n *node) applyClaimEffects(out *caroboutbox.Outbox) {
	for _, subscription := range out.Subscriptions {
		n.subscriptionOrders[subscription.Stream]++
		if subscription.Active {
			n.readSubscription(subscription.Stream, 0, n.subscriptionOrders[subscription.Stream])
		}
	}
	for _, request := range out.AppendRequests {
		n.appendOnce(request)
	}
}

// readSubscription reads a stream until a newer order for the stream is given. Records
// that were read before the newer order may still arrive after it.
func (n *node) readSubscription(stream carobstream.Stream, next caroboffset.Offset, order int) {
	log := n.sim.log
	n.after(n.sim.jitter(networkDelay)+log.extraDelay, func() {
		if n.subscriptionOrders[stream] != order {
			return
		}
		if log.unavailable {
			n.after(retryDelay, func() { n.readSubscription(stream, next, order) })
			return
		}
		stored := log.stream(stream)
		from := max(next, stored.first)
		records := slices.Clone(stored.records[from-stored.first:])
		for i := range records {
			records[i].Stream = stream
		}
		bounds := carobstreambounds.StreamBounds{Stream: stream, First: stored.first, Next: from + caroboffset.Offset(len(records)), AtEnd: true}
		if len(records) > 0 {
			n.after(n.sim.jitter(networkDelay), func() {
				n.enqueue(func(in *carobinbox.Inbox) {
					in.Records, in.StreamBounds = append(in.Records, records...), append(in.StreamBounds, bounds)
				})
				n.readSubscription(stream, bounds.Next, order)
			})
			return
		}
		n.after(pollInterval, func() { n.readSubscription(stream, bounds.Next, order) })
	})
}

// appendOnce appends a record without retries and reports the result to the control
// goroutine.
func (n *node) appendOnce(request carobappendrequest.AppendRequest) {
	n.sim.appendLog(request.Stream, request.Data, func(sure bool) {
		result := carobappendresult.AppendResult{Stream: request.Stream, Number: request.Number}
		if !sure {
			result.Kind = carobkind.AppendUncertain
		}
		n.after(0, func() {
			n.enqueue(func(in *carobinbox.Inbox) { in.AppendResults = append(in.AppendResults, result) })
		})
	})
}
