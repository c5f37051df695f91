// Package carobhedging has slow calls tried a second time at another target.
package carobhedging

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobagenda"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobpace"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// again is how often within a delay a call is looked at once more that got no
	// second attempt since the budget was spent or all targets were busy.
	again = 2
	// shortest is the least delay.
	shortest = time.Millisecond
	// enough is how many latencies must be known before a quantile is trusted.
	enough = 50
)

// System asks for a second attempt at an idempotent call when the first one
// takes longer than a quantile of recent ones. It runs after the routing, whose
// new attempts it takes note of; what it asks for is placed in the next tick.
type System struct {
	// due has the calls that may get a second attempt.
	due *carobagenda.Agenda[carobcallid.ID]
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{due: carobagenda.NewAgenda[carobcallid.ID]()}
}

// Run learns how fast services answer and asks for second attempts.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, rp := range w.Inbox.Replies {
		s.learn(w, now, rp)
	}
	for _, sd := range w.Outbox.Sends {
		s.arm(w, now, sd)
	}
	for {
		id, ok := s.due.Pop(now)
		if !ok {
			break
		}
		s.ask(w, now, id)
	}
	if next := s.due.Next(); next != carobinstant.Never {
		w.WakeAt(next)
	}
}

// learn takes in how long the attempts of an answered call took. Those that are
// given up now would have taken longer still.
func (s *System) learn(w *carobworld.World, now carobinstant.Instant, rp carobreply.Reply) {
	cl := w.Calls.Get(rp.Job.Call)
	if cl == nil || cl.Stage != carobstage.Delivering {
		return
	}
	s.due.Set(rp.Job.Call, carobinstant.Never)
	pc := paceOf(w, cl.Arrival.Service)
	if pc == nil || rp.Kind != carobkind.None {
		return
	}
	for i := range cl.Attempts {
		if at := &cl.Attempts[i]; i == rp.Job.Attempt-1 || !at.Over {
			pc.Latency.Add(now.Sub(at.Sent))
		}
	}
}

// arm notes when a new attempt is to be joined by a second one.
func (s *System) arm(w *carobworld.World, now carobinstant.Instant, sd carobsend.Send) {
	cl := w.Calls.Get(sd.Job.Call)
	pc := paceOf(w, cl.Arrival.Service)
	if pc == nil {
		return
	}
	if !mayHedge(cl) || pc.Latency.Weight() < enough {
		return
	}
	s.due.Set(sd.Job.Call, now.Add(delay(cl, pc)))
}

// mayHedge reports whether a call may run twice at once.
func mayHedge(cl *carobcall.Call) bool {
	return cl.Profile.Hedge > 0 && cl.Profile.Once == carobonce.No && !cl.Arrival.Streamed &&
		len(cl.Attempts) < cl.Profile.Tries && cl.Open() == 1
}

// ask wants a second attempt if the budget has one. The routing pays when it
// finds a target for it; until then the call is looked at again and again.
func (s *System) ask(w *carobworld.World, now carobinstant.Instant, id carobcallid.ID) {
	cl := w.Calls.Get(id)
	if cl == nil || cl.Stage != carobstage.Placed || !mayHedge(cl) || !running(cl.Attempts) {
		return
	}
	pc := paceOf(w, cl.Arrival.Service)
	if pc == nil {
		return
	}
	s.due.Set(id, now.Add(delay(cl, pc)/again))
	if w.BudgetOf(cl.Arrival.Service).Tokens >= 1 {
		cl.Extra = true
		w.WakeAt(now.Add(time.Nanosecond))
	}
}

// delay returns the age at which a call is tried a second time.
func delay(cl *carobcall.Call, pc *carobpace.Pace) time.Duration {
	return max(pc.Latency.Quantile(float64(cl.Profile.Hedge)), shortest)
}

// running reports whether the newest attempt is the one without a reply.
func running(attempts []carobattempt.Attempt) bool {
	return !attempts[len(attempts)-1].Over
}

func paceOf(w *carobworld.World, service carobservice.Service) *carobpace.Pace {
	if pc := w.Paces.Get(service); pc != nil {
		return pc
	}
	return w.Paces.Put(service, carobpace.Pace{})
}
