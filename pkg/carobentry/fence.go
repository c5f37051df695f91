package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// grace is how much longer than its deadline a call waits for fence replies.
	grace = 100 * time.Millisecond
	// repeat is the time after which a fence without a reply is sent again.
	repeat = 25 * time.Millisecond
)

// Withdraw asks the target's node to give an attempt back if it still waits in
// its queue. If it does, the attempt ends as Withdrawn and the call may be
// placed elsewhere; if it has started, it goes on. Asking again is harmless.
func Withdraw(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, number int) {
	at := &cl.Attempts[number-1]
	if cl.Stage == carobstage.Placed && !at.Over && at.State == carobjobstate.Unasked {
		ask(w, now, cl, number)
		resume(w, now, cl)
	}
}

// fence starts to find out whether the attempts of a call ran.
func fence(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	cl.Stage = carobstage.Fencing
	pursue(w, now, cl)
}

// pursue asks about the attempts that are in doubt, and settles the call once
// nothing more can be found out.
func pursue(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	for i := range cl.Attempts {
		if !cl.Attempts[i].NotRun() && cl.Attempts[i].State == carobjobstate.Unasked {
			ask(w, now, cl, i+1)
		}
	}
	settle(w, now, cl)
}

// ask sends a fence for an attempt, unless one was sent just now.
func ask(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, number int) {
	at := &cl.Attempts[number-1]
	if due := at.Asked.Add(repeat); at.Asked != carobinstant.Never && !due.Reached(now) {
		w.WakeAt(due)
		return
	}
	at.Asked = now
	fc := carobfence.Fence{Job: carobjobid.ID{Call: cl.Arrival.Call, Attempt: number}, Incarnation: at.Incarnation}
	if at.Node == w.Self.Node {
		settleAttempt(w, cl, number, carobfencing.Judge(w, fc))
		return
	}
	pr := w.Peers.Get(at.Node)
	if pr == nil || pr.Member.Incarnation != at.Incarnation {
		settleAttempt(w, cl, number, carobjobstate.Unknown)
		return
	}
	w.WakeAt(now.Add(repeat))
	w.Tell(carobmessage.Message{To: pr.Member.Peer, Fence: &fc})
}

// takeReply takes in a fence reply from a target's node.
func takeReply(w *carobworld.World, now carobinstant.Instant, fr *carobfencereply.FenceReply) {
	cl := w.Calls.Get(fr.Job.Call)
	if cl == nil || fr.Job.Attempt < 1 || fr.Job.Attempt > len(cl.Attempts) {
		return
	}
	settleAttempt(w, cl, fr.Job.Attempt, fr.State)
	switch cl.Stage {
	case carobstage.Fencing:
		settle(w, now, cl)
	case carobstage.Placed:
		resume(w, now, cl)
	default:
	}
}

// settleAttempt notes what became of an attempt. A job that was promised never to run
// stays so, whatever a late message tells.
func settleAttempt(w *carobworld.World, cl *carobcall.Call, number int, state carobjobstate.JobState) {
	at := &cl.Attempts[number-1]
	if at.State == carobjobstate.Never {
		return
	}
	at.State = state
	if state != carobjobstate.Never {
		return
	}
	cancel(w, cl, number)
	at.Over, at.Kind, cl.Last = true, carobkind.Withdrawn, carobkind.Withdrawn
}

// resume goes on with a call of which an attempt may have been withdrawn.
func resume(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if cl.Open() == 0 {
		failed(w, now, cl)
	}
}

// settle ends the doubt about a call, if it can be ended.
func settle(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	late := cl.Deadline.Reached(now)
	switch {
	case cl.NotRun() && late:
		conclude(w, now, cl, carobkind.Late)
	case cl.NotRun():
		again(w, now, cl)
	case ran(cl) || cl.Grace.Reached(now):
		conclude(w, now, cl, kindOfRun(cl))
	default:
	}
}

// again sends a call once more that was fenced before it ran, if the budget has
// room and its body is still there.
func again(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if len(cl.Attempts) < cl.Profile.Tries && !cl.Arrival.Streamed && w.BudgetOf(cl.Arrival.Service).Spend() {
		cl.Stage = carobstage.Waiting
		return
	}
	conclude(w, now, cl, cl.Last)
}

// ran reports whether some attempt is known to have started, or can never be
// known not to have.
func ran(cl *carobcall.Call) bool {
	for i := range cl.Attempts {
		if at := &cl.Attempts[i]; !at.NotRun() && at.State != carobjobstate.Unasked {
			return true
		}
	}
	return false
}

// kindOfRun returns the kind of a call of which some attempt may have run.
func kindOfRun(cl *carobcall.Call) carobkind.Kind {
	kind := carobkind.Expired
	for i := range cl.Attempts {
		if at := &cl.Attempts[i]; doubtful(at) {
			kind = at.Kind
		}
	}
	return kind
}

// doubtful reports whether the end of an attempt says why the call may have run.
// That the entry gave it up says nothing: the deadline or another attempt does.
func doubtful(at *carobattempt.Attempt) bool {
	return at.Over && !at.NotRun() && at.Kind != carobkind.None && at.Kind != carobkind.Cancelled
}
