// Package carobentry owns calls from their arrival until their callers have
// been told how they ended.
package carobentry

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// firstRest is the mean of the first wait of a call that was refused by all.
	firstRest = 10 * time.Millisecond
	// mostDoublings bounds the waits.
	mostDoublings = 4
	// restPart is the part of its SLO that a call waits for room at most.
	restPart = 8
	// mostRefusals is how many attempts a call has at most.
	mostRefusals = 100
)

// System takes calls in, follows their attempts and settles them.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes in what has come for calls.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, ar := range w.Inbox.Arrivals {
		arrive(w, now, ar)
	}
	for _, rp := range w.Inbox.Replies {
		reply(w, now, rp)
	}
	for i := range w.Inbox.Messages {
		receive(w, now, &w.Inbox.Messages[i])
	}
	for _, dl := range w.Inbox.Deliveries {
		deliver(w, now, dl)
	}
	for _, id := range w.Inbox.Hangups {
		if cl := w.Calls.Get(id); cl != nil {
			conclude(w, now, cl, carobkind.Cancelled)
		}
	}
	for _, cl := range w.Calls.All() {
		if w.Inbox.End {
			end(w, now, cl)
			continue
		}
		watch(w, now, cl)
	}
	for _, us := range w.Unsettled.All() {
		resend(w, now, us)
	}
}

// receive takes in what other nodes tell of calls.
func receive(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message) {
	if ms.FenceReply != nil {
		takeReply(w, now, ms.FenceReply)
	}
	if ms.ClaimReply != nil {
		claimed(w, now, ms.ClaimReply)
	}
	if ms.Settled != nil {
		w.Unsettled.Delete(*ms.Settled)
	}
}

func arrive(w *carobworld.World, now carobinstant.Instant, ar carobarrival.Arrival) {
	var rt *carobroute.Route
	if ar.Service == "" {
		if rt = lookUp(w, &ar); rt == nil {
			refuse(w, now, ar, unrouted(w), 0)
			return
		}
	}
	kind := refusalOf(w, ar)
	if kind != carobkind.None {
		refuse(w, now, ar, kind, 0)
		return
	}
	cl := newCall(w, now, ar, rt)
	if w.Ending.Before(cl.Deadline) {
		// It may not have its answer when the node ends, and elsewhere it will.
		refuse(w, now, ar, carobkind.Leaving, comeBack(w, &cl, carobkind.Leaving))
		return
	}
	w.EarnRetry(ar.Service)
	w.Calls.Put(ar.Call, cl)
}

// newCall returns the row of a call that can be taken in.
func newCall(w *carobworld.World, now carobinstant.Instant, ar carobarrival.Arrival, rt *carobroute.Route) carobcall.Call {
	pf := *w.ProfileOf(ar.Service)
	if rt != nil {
		pf = rt.Apply(pf)
	}
	cl := carobcall.Call{
		Arrival: ar, Profile: pf, Route: rt, Came: now, Deadline: now.Add(patience(ar, pf, rt)), Last: carobkind.NoTarget,
	}
	if rt != nil && rt.Slo > 0 {
		cl.Slo = now.Add(rt.Slo.Duration())
	}
	if cl.Key() != (carobkey.Key{}) {
		cl.Stage = carobstage.Claiming
	}
	return cl
}

// patience returns how long a call may take. What an operator says of a route
// shortens what the caller says.
func patience(ar carobarrival.Arrival, pf carobprofile.Profile, rt *carobroute.Route) time.Duration {
	switch {
	case ar.Patience <= 0:
		return pf.Deadline.Duration()
	case rt != nil && rt.Timeout > 0:
		return min(ar.Patience, rt.Timeout.Duration())
	default:
		return ar.Patience
	}
}

// refusalOf returns why a call cannot be taken in at all, or None.
func refusalOf(w *carobworld.World, ar carobarrival.Arrival) carobkind.Kind {
	switch {
	case w.Stopping && !servedElsewhere(w, ar.Service):
		return carobkind.Leaving
	case w.Calls.Full():
		return carobkind.Busy
	case w.Groups.Get(ar.Service) == nil:
		return carobkind.NoTarget
	case w.ProfileOf(ar.Service) == nil:
		return carobkind.NotReady
	default:
		return carobkind.None
	}
}

// servedElsewhere reports whether another node has a target of the service. A
// node that is stopping still serves the calls that come on open connections.
func servedElsewhere(w *carobworld.World, service carobservice.Service) bool {
	gp := w.Groups.Get(service)
	return gp != nil && lo.SomeBy(gp.Targets, func(id carobtargetid.ID) bool {
		tg := w.Targets.Get(id)
		return tg != nil && !w.Owns(tg) && tg.State == carobreadiness.Ready
	})
}

func reply(w *carobworld.World, now carobinstant.Instant, rp carobreply.Reply) {
	cl := w.Calls.Get(rp.Job.Call)
	if cl == nil || rp.Job.Attempt < 1 || rp.Job.Attempt > len(cl.Attempts) {
		return
	}
	at := &cl.Attempts[rp.Job.Attempt-1]
	if at.Over {
		return
	}
	if shed(cl, rp) {
		cancel(w, cl, rp.Job.Attempt)
		rp.Kind = carobkind.Busy
	}
	at.Over, at.Kind = true, rp.Kind
	if cl.Stage != carobstage.Placed && cl.Stage != carobstage.Fencing {
		return
	}
	if rp.Kind == carobkind.None && repeatFailed(w, now, cl, rp) {
		return
	}
	if rp.Kind == carobkind.None {
		answer(w, now, cl, rp.Job.Attempt)
		return
	}
	cl.Last = rp.Kind
	if cl.Open() == 0 {
		failed(w, now, cl)
	}
}

// shed reports whether a target's answer proves that it did not run the call.
// Its body is then not wanted.
func shed(cl *carobcall.Call, rp carobreply.Reply) bool {
	return rp.Kind == carobkind.None && cl.Profile.Refuse && rp.Status == http.StatusServiceUnavailable
}

// repeatFailed sends a call that may run again once more if its target answered
// that it failed, and reports whether it did. Without budget or time for that,
// the caller gets the target's answer.
func repeatFailed(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, rp carobreply.Reply) bool {
	if rp.Status < http.StatusInternalServerError || cl.Route == nil || !mayRepeat(cl) || cl.Open() > 0 ||
		cl.Runs() >= cl.Profile.Tries || cl.Slo.Reached(now) || !w.BudgetOf(cl.Arrival.Service).Spend() {
		return false
	}
	cl.Stage = carobstage.Waiting
	return true
}

// failed decides on a call of which all attempts have failed.
func failed(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	left := len(cl.Attempts) < cl.Profile.Tries && !cl.Deadline.Reached(now)
	switch {
	case left && moves(cl):
		w.BudgetOf(cl.Arrival.Service).Moves++
		cl.Stage = carobstage.Waiting
	case cl.Last == carobkind.Busy && cl.NotRun() && len(cl.Attempts) < mostRefusals && mayRest(now, cl):
		rest(w, now, cl)
	case left && mayGoOn(cl) && w.BudgetOf(cl.Arrival.Service).Spend():
		cl.Stage = carobstage.Waiting
	default:
		fence(w, now, cl)
	}
}

// mayGoOn reports whether a call may be sent again at the budget's expense.
func mayGoOn(cl *carobcall.Call) bool {
	return cl.NotRun() || mayRepeat(cl)
}

// moves reports whether another attempt at a call costs nothing: none has run,
// and the last one reached no target.
func moves(cl *carobcall.Call) bool {
	return cl.NotRun() && cl.Last != carobkind.Shed && cl.Last != carobkind.Misdirected
}

// rest lets a call wait at its entry that every target it was offered to was too
// busy for. A jump of load is over in milliseconds, and a caller that has time
// left would rather wait than be refused. The waits grow, so that calls beyond
// what the targets can do cost few refusals.
func rest(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	doublings := min(len(cl.Attempts)-cl.Profile.Tries, mostDoublings)
	pause := firstRest << max(0, doublings)
	cl.Rest = now.Add(pause/2 + time.Duration(w.Random.Int64N(int64(pause))))
	cl.Stage = carobstage.Waiting
}

// mayRest reports whether a call that nobody has room for now may still wait. One
// with an SLO waits for a part of it at most: later it would be too late for its
// caller, who learns more from a refusal.
func mayRest(now carobinstant.Instant, cl *carobcall.Call) bool {
	if cl.Deadline.Reached(now) {
		return false
	}
	return cl.Slo == carobinstant.Never || now.Sub(cl.Came) < cl.Slo.Sub(cl.Came)/restPart
}

// mayRepeat reports whether a call may run though an attempt at it may have.
func mayRepeat(cl *carobcall.Call) bool {
	return cl.Profile.Once == carobonce.No && !cl.Arrival.Streamed
}

// answer picks the attempt whose answer the caller gets.
func answer(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, attempt int) {
	cl.Stage = carobstage.Delivering
	tell(w, now, cl, "answer passed on", carobkind.None, 0)
	cancelOthers(w, cl, attempt)
	w.Outbox.Conclusions = append(w.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: cl.Arrival.Call, Attempt: attempt,
	})
}

func deliver(w *carobworld.World, now carobinstant.Instant, dl carobdelivery.Delivery) {
	if cl := w.Calls.Get(dl.Job.Call); cl != nil {
		unsettle(w, now, cl, carobkind.None, dl.Kept)
		w.Calls.Delete(dl.Job.Call)
	}
}

// watch sees to it that a call goes on when no message comes.
func watch(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if cl.Stage == carobstage.Delivering {
		return
	}
	if cl.Stage == carobstage.Claiming {
		claim(w, now, cl)
		return
	}
	if cl.Stage == carobstage.Waiting && cl.Starved && cl.Slo != carobinstant.Never && !mayRest(now, cl) {
		starve(w, now, cl)
		return
	}
	if !cl.Deadline.Reached(now) {
		w.WakeAt(cl.Deadline)
	} else if cl.Grace == carobinstant.Never {
		cl.Grace = now.Add(grace)
		cl.Stage = carobstage.Fencing
	}
	w.WakeAt(cl.Grace)
	if cl.Stage == carobstage.Fencing {
		pursue(w, now, cl)
	}
}

// starve ends a call that no target can take. Whoever waits for an answer until
// its deadline learns no more than now, and comes back later.
func starve(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if cl.NotRun() {
		conclude(w, now, cl, carobkind.NoTarget)
		return
	}
	conclude(w, now, cl, kindOfRun(cl))
}

// end tells a caller what is known of its call when the node ends. An answer that
// waits on the connection behind it can then still be delivered.
func end(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	switch {
	case cl.Stage == carobstage.Delivering:
	case cl.NotRun():
		conclude(w, now, cl, carobkind.Leaving)
	default:
		conclude(w, now, cl, carobkind.Cut)
	}
}

// conclude tells the caller an error and forgets the call.
func conclude(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, kind carobkind.Kind) {
	if cl.NotRun() {
		unsettle(w, now, cl, carobkind.Withdrawn, nil)
	} else {
		unsettle(w, now, cl, kind, nil)
	}
	cancelOthers(w, cl, 0)
	after := comeBack(w, cl, kind)
	w.Outbox.Conclusions = append(w.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: cl.Arrival.Call, Kind: kind, After: after,
	})
	tell(w, now, cl, "call ended without an answer", kind, after)
	w.Calls.Delete(cl.Arrival.Call)
}

// comeBack returns after how long a caller with an SLO may try again: a time
// within it, spread so that callers do not come back together. 0 is what the kind
// says.
func comeBack(w *carobworld.World, cl *carobcall.Call, kind carobkind.Kind) time.Duration {
	after := kind.Retry()
	if after == 0 || cl.Slo == carobinstant.Never {
		return 0
	}
	step := min(after, cl.Slo.Sub(cl.Came)/restPart)
	return step/2 + time.Duration(w.Random.Int64N(int64(step)))
}

func cancelOthers(w *carobworld.World, cl *carobcall.Call, keep int) {
	for i := range cl.Attempts {
		if i+1 != keep {
			cancel(w, cl, i+1)
		}
	}
}

// cancel gives an attempt up that has no reply yet.
func cancel(w *carobworld.World, cl *carobcall.Call, number int) {
	if !cl.Attempts[number-1].Over {
		w.Outbox.Cancels = append(w.Outbox.Cancels, carobjobid.ID{Call: cl.Arrival.Call, Attempt: number})
	}
}

// refuse turns away a call that was not taken in. After is when it may come back; 0
// is what the kind says.
func refuse(w *carobworld.World, now carobinstant.Instant, ar carobarrival.Arrival, kind carobkind.Kind, after time.Duration) {
	w.Outbox.Conclusions = append(w.Outbox.Conclusions, carobconclusion.Conclusion{Call: ar.Call, Kind: kind, After: after})
	inputs := []carobinput.Input{
		{Name: "routes", Value: float64(w.RoutesVersion())}, {Name: "services", Value: float64(w.Groups.Len())},
	}
	if w.Ending != carobinstant.Never {
		inputs = append(inputs, carobinput.Input{Name: "endsms", Value: float64(w.Ending.Sub(now).Milliseconds())})
	}
	w.Decide(carobdecision.Decision{
		Part: "entry", Text: "call turned away", Request: ar.Request, Call: ar.Call, Kind: kind, Inputs: inputs,
	})
}
