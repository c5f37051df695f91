package carobemulator

import (
	"net/http"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// patient is the part of the time left that a caller waits before it comes back.
const patient = 3

// visit is a caller that waits for an answer, over all of its attempts.
type visit struct {
	kind  int
	place int
	// came is when the first attempt was made, and deadline when the caller gives up.
	came, deadline carobinstant.Instant
	// retries is how often the caller still comes back.
	retries int
	// call is the newest attempt.
	call carobcallid.ID
	// parent is the job that made the call; none if it came from outside.
	parent carobjobid.ID
}

// arrive has callers come from outside.
func (e *Emulator) arrive() {
	for i, ok := e.sources.Pop(e.now); ok; i, ok = e.sources.Pop(e.now) {
		kd := &e.scenario.Kinds[i]
		e.sources.Set(i, e.now.Add(e.gap(kd.Rate)))
		e.visit(visit{
			kind: i, place: e.random.IntN(len(e.nodes)), came: e.now, deadline: e.now.Add(kd.Deadline.Duration()), retries: kd.Retries,
		})
	}
}

// callFrom has a job make a call, at the node beside its target.
func (e *Emulator) callFrom(id carobjobid.ID, jb *job) {
	kd := &e.scenario.Kinds[jb.kind]
	for i := range e.scenario.Kinds {
		if called := &e.scenario.Kinds[i]; called.Name == kd.Calls {
			deadline := carobinstant.Earlier(jb.deadline, e.now.Add(called.Deadline.Duration()))
			e.visit(visit{kind: i, place: jb.place, came: e.now, deadline: deadline, parent: id})
		}
	}
}

func (e *Emulator) visit(v visit) {
	e.count++
	e.ask(e.count, e.visits.Put(e.count, v))
}

// ask sends a caller's next attempt to its node.
func (e *Emulator) ask(id uint64, v *visit) {
	n := e.nodes[v.place]
	v.call = carobcallid.ID{Node: n.self.Node, Incarnation: n.self.Incarnation, Sequence: id<<attemptBits | n.calls%(1<<attemptBits)}
	n.calls++
	ar := carobarrival.Arrival{Call: v.call, Host: host(v.kind), Path: "/", Timeout: v.deadline.Sub(e.now)}
	e.post(v.place, 0, func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, ar) })
}

// attemptBits part the attempts of a visit in the sequence of their calls.
const attemptBits = 20

// visitOf returns the visit that a job is of.
func (e *Emulator) visitOf(id carobjobid.ID) uint64 {
	return id.Call.Sequence >> attemptBits
}

// comeBack has callers ask again that were told to wait.
func (e *Emulator) comeBack() {
	for id, ok := e.returns.Pop(e.now); ok; id, ok = e.returns.Pop(e.now) {
		e.ask(id, e.visits.Get(id))
	}
}

// conclude hands a caller the end of its attempt.
func (e *Emulator) conclude(n *node, cn carobconclusion.Conclusion) {
	id := carobjobid.ID{Call: cn.Call, Attempt: cn.Attempt}
	v := e.visits.Get(e.visitOf(id))
	status := 0
	if cn.Kind == carobkind.None {
		status = n.status[id]
		e.post(n.place, 0, func(in *carobinbox.Inbox) { in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{Job: id}) })
	}
	if v == nil || v.call != cn.Call {
		return
	}
	if e.again(e.visitOf(id), v, cn, status) {
		return
	}
	e.settle(e.visitOf(id), v, cn.Kind, status)
}

// again has a caller come back if it may, and reports whether it does.
func (e *Emulator) again(id uint64, v *visit, cn carobconclusion.Conclusion, status int) bool {
	safe := e.scenario.Kinds[v.kind].Once == carobguarantee.Idempotent
	left := v.deadline.Sub(e.now)
	if v.retries == 0 || left <= 0 || status == http.StatusOK || !safe && (cn.Kind == carobkind.None || !cn.Kind.NotRun()) {
		return false
	}
	after := cn.RetryAfter
	if after == 0 {
		after = cn.Kind.RetryAfter()
	}
	v.retries--
	e.returns.Set(id, e.now.Add(min(after, left/patient)))
	return true
}

// settle counts how a visit ended, and tells the job that made it.
func (e *Emulator) settle(id uint64, v *visit, kind carobkind.Kind, status int) {
	took := e.now.Sub(v.came)
	if sm := e.summaries[v.kind]; kind == carobkind.None {
		sm.AddAnswer(took, status, true)
	} else {
		sm.AddError(took, kind.Outcome(), kind)
	}
	parent := v.parent
	e.visits.Delete(id)
	if parent != (carobjobid.ID{}) {
		e.called(parent, status)
	}
}
