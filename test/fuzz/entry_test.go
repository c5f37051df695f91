package fuzz

import (
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// exchange is a call at its entry.
type exchange struct {
	arrival  carobarrival.Arrival
	body     string
	attempts map[int]*attempt
}

// attempt is one sending of a call, until its reply.
type attempt struct {
	peer int
	over bool
	body string
	fail func(kind carobkind.Kind)
	// hangUp tells the other end that nobody wants the answer; nil if it has
	// nothing yet.
	hangUp func()
}

// drop gives an attempt up.
func (a *attempt) drop() {
	if !a.over && a.hangUp != nil {
		a.hangUp()
	}
	a.fail(carobkind.ConnectionLost)
}

// carryCalls carries out what was decided on calls.
func (n *node) carryCalls(out *caroboutbox.Outbox) {
	for _, sd := range out.Sends {
		if x := n.calls[sd.Job.Call]; x != nil {
			n.send(x, sd)
		}
	}
	for _, job := range out.Cancels {
		if x := n.calls[job.Call]; x != nil && x.attempts[job.Attempt] != nil {
			n.do(localTime, x.attempts[job.Attempt].drop)
		}
	}
	for _, cn := range out.Conclusions {
		if x := n.calls[cn.Call]; x != nil {
			n.conclude(x, cn)
			continue
		}
		n.s.oracle.again(cn.Call.String())
	}
}

// call takes a call from a caller.
func (n *node) call(service int, key string, patience time.Duration) {
	if n.ending {
		return // the listener is closed
	}
	n.sequence++
	id := carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: n.sequence}
	body := "body of " + id.String()
	if key != "" {
		body = "body of " + key
	}
	sv := services[service]
	x := &exchange{body: body, attempts: map[int]*attempt{}, arrival: carobarrival.Arrival{
		Call: id, Service: sv.name, Timeout: patience, Key: key,
	}}
	n.s.oracle.came(id.String(), history{service: string(sv.name), once: sv.once, key: key, body: body})
	n.calls[id] = x
	n.post(func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, x.arrival) })
}

// hangUp has a caller go away.
func (n *node) hangUp(x *exchange) {
	if n.calls[x.arrival.Call] != x {
		return
	}
	n.s.oracle.told(x.arrival.Call.String(), "gone", "")
	delete(n.calls, x.arrival.Call)
	n.post(func(in *carobinbox.Inbox) { in.Disconnects = append(in.Disconnects, x.arrival.Call) })
	for number := range len(x.attempts) {
		x.attempts[number+1].drop()
	}
}

// conclude tells the caller how its call ended.
func (n *node) conclude(x *exchange, cn carobconclusion.Conclusion) {
	call := x.arrival.Call
	delete(n.calls, call)
	if cn.Kind != carobkind.None {
		n.s.kinds[cn.Kind]++
		n.s.oracle.told(call.String(), string(cn.Kind.Outcome()), "")
		return
	}
	if cn.StoredAnswer != nil {
		n.s.oracle.told(call.String(), "answered", string(cn.StoredAnswer.Body))
		return
	}
	at := x.attempts[cn.Attempt]
	if at == nil || at.body == "" {
		n.s.oracle.complain("call %s is concluded with attempt %d, which has no answer", call, cn.Attempt)
		return
	}
	n.s.oracle.told(call.String(), "answered", strings.Clone(at.body))
	n.post(func(in *carobinbox.Inbox) {
		in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{
			Job: carobjobid.ID{Call: call, Attempt: cn.Attempt}, StoredAnswer: &carobstoredanswer.StoredAnswer{Body: []byte(at.body)},
		})
	})
}

// send carries an attempt to the target's node and its reply back.
func (n *node) send(x *exchange, sd carobsend.Send) {
	at := &attempt{peer: n.place}
	x.attempts[sd.Job.Attempt] = at
	reply := func(kind carobkind.Kind, status int, rp *carobreport.Report, body string) {
		if at.over {
			return
		}
		at.over, at.body = true, body
		n.do(0, func() {
			n.post(func(in *carobinbox.Inbox) {
				in.Replies = append(in.Replies, carobreply.Reply{Job: sd.Job, Kind: kind, Status: status, Report: rp})
			})
		})
	}
	at.fail = func(kind carobkind.Kind) { reply(kind, 0, nil, "") }
	of := caroboffer.Offer{
		Job: sd.Job, Target: sd.Target, Incarnation: sd.Incarnation, TimeLeft: sd.TimeLeft, Key: x.arrival.Key,
	}
	if sd.PeerAddress == "" {
		n.offer(of, x.body, reply)
		return
	}
	for place := range n.s.nodes {
		if peerAddress(place) == sd.PeerAddress {
			at.peer = place
		}
	}
	n.open = append(n.open, at)
	n.dial(at, of, x.body, reply)
}

type replier func(kind carobkind.Kind, status int, rp *carobreport.Report, body string)

// dial sends an offer over a kept connection or a new one.
func (n *node) dial(at *attempt, of caroboffer.Offer, body string, reply replier) {
	kept := n.s.chance(0.5)
	out, back := n.s.links[link{n.place, at.peer}], n.s.links[link{at.peer, n.place}]
	switch {
	case out == cut && kept:
		n.do(n.s.transit(), func() { at.fail(carobkind.ConnectionLost) })
	case out == cut:
		n.do(n.s.transit(), func() { at.fail(carobkind.Unreachable) })
	case (out == silent || back == silent) && !kept:
		n.do(dialTime, func() { at.fail(carobkind.Unreachable) })
	case out == silent:
	default:
		n.s.after(n.s.transit(), func() { n.reach(at, kept, of, body, reply) })
	}
}

// reach has an offer come to the node of its target.
func (n *node) reach(at *attempt, kept bool, of caroboffer.Offer, body string, reply replier) {
	peer, back := n.s.nodes[at.peer], link{at.peer, n.place}
	if !peer.alive {
		at.fail(lostKind(peer, kept))
		return
	}
	answer := func(kind carobkind.Kind, status int, rp *carobreport.Report, body string) {
		n.s.after(n.s.transit(), func() {
			switch n.s.links[back] {
			case open:
				reply(kind, status, rp, body)
			case cut:
				at.fail(carobkind.ConnectionLost)
			case silent:
			}
		})
	}
	if peer.frozen {
		// If the process ends before it wakes, the connection breaks.
		peer.tasks[of.Job] = &task{offer: of, respond: func(carobkind.Kind, int, string) { at.fail(carobkind.ConnectionLost) }}
	}
	peer.do(0, func() {
		if at.over && n.s.chance(0.5) {
			return
		}
		tk := peer.accept(of, body, answer)
		at.hangUp = func() {
			if n.s.links[link{n.place, at.peer}] != silent {
				n.s.after(n.s.transit(), func() { peer.do(0, func() { peer.abandon(tk) }) })
			}
		}
	})
}

// lostKind is how an attempt ends at a node that is dead. New connections are
// refused; kept ones were seen to be closed, unless that was a moment ago.
func lostKind(peer *node, kept bool) carobkind.Kind {
	const moment = 2 * time.Millisecond
	if kept && peer.s.elapsed()-peer.died < moment {
		return carobkind.ConnectionLost
	}
	return carobkind.Unreachable
}
