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

// carryClaims does what the claim log does with the effects of a tick.
func (n *node) carryClaims(out *caroboutbox.Outbox) {
	for _, fl := range out.Subscriptions {
		n.follows[fl.Stream]++
		if fl.Active {
			n.follow(fl.Stream, 0, n.follows[fl.Stream])
		}
	}
	for _, cm := range out.AppendRequests {
		n.commit(cm)
	}
}

// follow reads a stream until another order for it came. What was read before
// that may still come after it.
func (n *node) follow(stream carobstream.Stream, next caroboffset.Offset, order int) {
	lg := n.s.log
	n.do(n.s.jitter(hopTime)+lg.slow, func() {
		if n.follows[stream] != order {
			return
		}
		if lg.out {
			n.do(retryPause, func() { n.follow(stream, next, order) })
			return
		}
		st := lg.of(stream)
		from := max(next, st.first)
		records := slices.Clone(st.records[from-st.first:])
		for i := range records {
			records[i].Stream = stream
		}
		mark := carobstreambounds.StreamBounds{Stream: stream, First: st.first, Next: from + caroboffset.Offset(len(records))}
		if len(records) > 0 {
			n.do(n.s.jitter(hopTime), func() {
				n.post(func(in *carobinbox.Inbox) {
					in.Records, in.StreamBounds = append(in.Records, records...), append(in.StreamBounds, mark)
				})
				n.follow(stream, mark.Next, order)
			})
			return
		}
		n.do(tailPause, func() { n.follow(stream, mark.Next, order) })
	})
}

// commit appends once and tells how that went.
func (n *node) commit(cm carobappendrequest.AppendRequest) {
	n.s.appendLog(cm.Stream, cm.Data, func(sure bool) {
		cd := carobappendresult.AppendResult{Stream: cm.Stream, Number: cm.Number}
		if !sure {
			cd.Kind = carobkind.AppendUncertain
		}
		n.do(0, func() {
			n.post(func(in *carobinbox.Inbox) { in.AppendResults = append(in.AppendResults, cd) })
		})
	})
}
