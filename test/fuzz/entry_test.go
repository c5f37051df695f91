package fuzz

import (
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// entryCall is a call at its entry node.
type entryCall struct {
	arrival carobarrival.Arrival
	body    string
	// attempts is keyed by the number of the attempt, from 1.
	attempts map[int]*attempt
}

// attempt is one sending of a call.
type attempt struct {
	// place is that of the target's node.
	place int
	// ended is true once the entry node has the reply.
	ended    bool
	response string
	// fail ends the attempt with an error.
	fail func(kind carobkind.Kind)
	// cancel cancels the job at the target's node; nil as long as the offer has not
	// arrived there.
	cancel func()
}

// abort cancels an attempt: it closes the connection, and the entry node ends the attempt.
func (a *attempt) abort() {
	if !a.ended && a.cancel != nil {
		a.cancel()
	}
	a.fail(carobkind.ConnectionLost)
}

// applyCallEffects carries out the effects of a tick that concern calls.
func (n *node) applyCallEffects(out *caroboutbox.Outbox) {
	for _, send := range out.Sends {
		if call := n.calls[send.Job.Call]; call != nil {
			n.sendAttempt(call, send)
		}
	}
	for _, job := range out.Cancels {
		if call := n.calls[job.Call]; call != nil && call.attempts[job.Attempt] != nil {
			n.after(localDelay, call.attempts[job.Attempt].abort)
		}
	}
	for _, conclusion := range out.Conclusions {
		if call := n.calls[conclusion.Call]; call != nil {
			n.conclude(call, conclusion)
			continue
		}
		n.sim.oracle.concludedAgain(conclusion.Call.String())
	}
}

// startCall sends a call to the node as a caller does. A timeout of 0 leaves the deadline
// to the profile.
func (n *node) startCall(service int, key string, timeout time.Duration) {
	n.startCallWith(service, key, timeout, carobcredential.Credential{})
}

// startCallWith sends a call that carries a credential. It returns the ID of the call, which is
// zero if the node does not take calls any more.
func (n *node) startCallWith(service int, key string, timeout time.Duration, credential carobcredential.Credential) carobcallid.ID {
	if n.exiting {
		return carobcallid.ID{} // the listener is closed
	}
	n.sequence++
	id := carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: n.sequence}
	body := "body of " + id.String()
	if key != "" {
		body = "body of " + key
	}
	profile := services[service]
	call := &entryCall{body: body, attempts: map[int]*attempt{}, arrival: carobarrival.Arrival{
		Call: id, Service: profile.name, Timeout: timeout, Key: key, Credential: credential,
	}}
	if n.sim.operator != nil {
		n.sim.operator.address(&call.arrival)
	}
	n.sim.oracle.callArrived(id.String(), callHistory{service: string(profile.name), guarantee: profile.guarantee, key: key, body: body})
	n.calls[id] = call
	n.enqueue(func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, call.arrival) })
	return id
}

// disconnect closes the connection of a caller that waits for its response.
func (n *node) disconnect(call *entryCall) {
	if n.calls[call.arrival.Call] != call {
		return
	}
	n.sim.oracle.callEnded(call.arrival.Call.String(), "gone", "")
	delete(n.calls, call.arrival.Call)
	n.enqueue(func(in *carobinbox.Inbox) { in.Disconnects = append(in.Disconnects, call.arrival.Call) })
	for number := range len(call.attempts) {
		call.attempts[number+1].abort()
	}
}

// conclude sends the response or the error to the caller.
func (n *node) conclude(call *entryCall, conclusion carobconclusion.Conclusion) {
	id := call.arrival.Call
	delete(n.calls, id)
	if conclusion.Kind != carobkind.None {
		n.sim.kinds[conclusion.Kind]++
		n.sim.quotas.concluded(id, conclusion.Kind)
		if conclusion.Kind == carobkind.Unauthenticated {
			n.sim.operator.oracle.refused(id.String())
		}
		n.sim.oracle.callEnded(id.String(), string(conclusion.Kind.Outcome()), "")
		return
	}
	if conclusion.StoredAnswer != nil {
		n.sim.oracle.callEnded(id.String(), "answered", string(conclusion.StoredAnswer.Body))
		return
	}
	attempt := call.attempts[conclusion.Attempt]
	if attempt == nil || attempt.response == "" {
		n.sim.oracle.recordViolation("call %s is concluded with the answer of attempt %d, which has none", id, conclusion.Attempt)
		return
	}
	n.sim.oracle.callEnded(id.String(), "answered", strings.Clone(attempt.response))
	n.enqueue(func(in *carobinbox.Inbox) {
		in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{
			Job: carobjobid.ID{Call: id, Attempt: conclusion.Attempt}, StoredAnswer: &carobstoredanswer.StoredAnswer{Body: []byte(attempt.response)},
		})
	})
}

// sendAttempt sends an attempt to the target's node and its reply back to the control
// goroutine.
func (n *node) sendAttempt(call *entryCall, send carobsend.Send) {
	sent := &attempt{place: n.place}
	call.attempts[send.Job.Attempt] = sent
	reply := func(kind carobkind.Kind, status int, report *carobreport.Report, body string) {
		if sent.ended {
			return
		}
		sent.ended, sent.response = true, body
		n.after(0, func() {
			n.enqueue(func(in *carobinbox.Inbox) {
				in.AttemptReplies = append(in.AttemptReplies, carobattemptreply.AttemptReply{Job: send.Job, Kind: kind, Status: status, Report: report})
			})
		})
	}
	sent.fail = func(kind carobkind.Kind) { reply(kind, 0, nil, "") }
	offer := caroboffer.Offer{
		Job: send.Job, Target: send.Target, Incarnation: send.Incarnation, TimeLeft: send.TimeLeft, RateLimit: send.RateLimit,
	}
	if n.sim.operator != nil {
		offer.Requirements = n.sim.operator.requirements(send)
	}
	if send.PeerAddress == "" {
		n.offerLocally(offer, call.body, reply)
		return
	}
	for place := range n.sim.nodes {
		if peerAddress(place) == send.PeerAddress {
			sent.place = place
		}
	}
	n.openAttempts = append(n.openAttempts, sent)
	n.dial(sent, offer, call.body, reply)
}

// replyFunc receives the reply to an attempt: an error kind, or a response of the target;
// report is nil if the target's node has none.
type replyFunc func(kind carobkind.Kind, status int, report *carobreport.Report, body string)

// dial sends an offer over a reused connection or a new one.
func (n *node) dial(sent *attempt, offer caroboffer.Offer, body string, reply replyFunc) {
	reused := n.sim.chance(0.5)
	out, back := n.sim.links[link{n.place, sent.place}], n.sim.links[link{sent.place, n.place}]
	switch {
	case out == linkReset && reused:
		n.after(n.sim.transitTime(), func() { sent.fail(carobkind.ConnectionLost) })
	case out == linkReset:
		n.after(n.sim.transitTime(), func() { sent.fail(carobkind.Unreachable) })
	case (out == linkBlackhole || back == linkBlackhole) && !reused:
		n.after(dialTimeout, func() { sent.fail(carobkind.Unreachable) })
	case out == linkBlackhole:
	default:
		n.sim.after(n.sim.transitTime(), func() { n.deliverOffer(sent, reused, offer, body, reply) })
	}
}

// deliverOffer delivers an offer to the node of its target.
func (n *node) deliverOffer(sent *attempt, reused bool, offer caroboffer.Offer, body string, reply replyFunc) {
	peer, back := n.sim.nodes[sent.place], link{sent.place, n.place}
	if !peer.alive {
		sent.fail(deadNodeKind(peer, reused))
		return
	}
	answer := func(kind carobkind.Kind, status int, report *carobreport.Report, body string) {
		n.sim.after(n.sim.transitTime(), func() {
			switch n.sim.links[back] {
			case linkUp:
				reply(kind, status, report, body)
			case linkReset:
				sent.fail(carobkind.ConnectionLost)
			case linkBlackhole:
			}
		})
	}
	if peer.frozen {
		// If the process is killed before it is thawed, the connection is lost.
		peer.jobs[offer.Job] = &targetJob{offer: offer, respond: func(carobkind.Kind, int, string) { sent.fail(carobkind.ConnectionLost) }}
	}
	peer.after(0, func() {
		if sent.ended && n.sim.chance(0.5) {
			return
		}
		job := peer.acceptOffer(offer, body, answer)
		sent.cancel = func() {
			if n.sim.links[link{n.place, sent.place}] != linkBlackhole {
				n.sim.after(n.sim.transitTime(), func() { peer.after(0, func() { peer.cancelJob(job) }) })
			}
		}
	})
}

// deadNodeKind returns the error of an attempt to a node that has ended. New connections
// are refused. A reused connection is known to be closed, unless the node ended less than
// closeDelay ago.
func deadNodeKind(peer *node, reused bool) carobkind.Kind {
	const closeDelay = 2 * time.Millisecond
	if reused && peer.sim.elapsed()-peer.endedAt < closeDelay {
		return carobkind.ConnectionLost
	}
	return carobkind.Unreachable
}
