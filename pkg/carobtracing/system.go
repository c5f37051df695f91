// Package carobtracing follows each call through its node: it hands the trace
// context on from hop to hop and records every hop that is over.
package carobtracing

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobparent"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtrace"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Seed is what all span ids follow from.
	Seed uint64
	// Alone says that hops are recorded without being handed on: nobody reads them
	// together, and a trace context costs bytes on each hop.
	Alone bool
}

// System reads what the other systems of the tick took in and ordered, so that
// it runs after them and they need not know of it.
type System struct {
	// random is apart from the world's, so that tracing changes no decision.
	random *rand.Rand
	alone  bool
}

// Roles of hops.
const (
	entry  = "entry"
	target = "target"
)

// NewSystem returns the system.
func NewSystem(c Config) *System {
	const stream = 2
	return &System{alone: c.Alone, random: rand.New(rand.NewPCG(c.Seed, stream))} //nolint:gosec // span ids are no secret
}

// Run opens, hands on and closes the hops of the tick.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.open(w, now)
	handOn(w, s.alone)
	closeCalls(w, now)
	closeJobs(w, now)
}

func (s *System) open(w *carobworld.World, now carobinstant.Instant) {
	for i := range w.Inbox.Arrivals {
		ar := &w.Inbox.Arrivals[i]
		w.CallTraces.Put(ar.Call, s.begin(ar.Trace, now))
	}
	for i := range w.Inbox.Offers {
		of := &w.Inbox.Offers[i]
		tr := s.begin(of.Trace, now)
		tr.Targets = []carobtargetid.ID{of.Target}
		w.JobTraces.Put(of.Job, tr)
	}
}

func (s *System) begin(header string, now carobinstant.Instant) carobtrace.Trace {
	parent, ok := carobparent.Parse(header)
	if !ok {
		return carobtrace.Trace{Own: carobparent.NewParent(s.random), Start: now}
	}
	return carobtrace.Trace{Own: parent.Child(s.random), Parent: parent, Start: now}
}

// handOn gives the context to the attempts and jobs that go out.
func handOn(w *carobworld.World, alone bool) {
	for i := range w.Outbox.Sends {
		sd := &w.Outbox.Sends[i]
		if tr := w.CallTraces.Get(sd.Job.Call); tr != nil {
			tr.Targets = append(tr.Targets, sd.Target)
			if !alone {
				sd.Trace = tr.Own.String()
			}
		}
	}
	for i := range w.Outbox.Starts {
		st := &w.Outbox.Starts[i]
		if tr := w.JobTraces.Get(st.Job); tr != nil && !alone {
			st.Trace = tr.Own.String()
		}
	}
}

func closeCalls(w *carobworld.World, now carobinstant.Instant) {
	for _, cn := range w.Outbox.Conclusions {
		if cn.Kind != carobkind.None {
			closeCall(w, now, cn.Call, 0, cn.Kind)
		}
	}
	for _, dl := range w.Inbox.Deliveries {
		closeCall(w, now, dl.Job.Call, dl.Job.Attempt, dl.Kind)
	}
}

// closeCall records the end of a call. An attempt of 0 is the last one.
func closeCall(w *carobworld.World, now carobinstant.Instant, call carobcallid.ID, attempt int, kind carobkind.Kind) {
	tr := w.CallTraces.Get(call)
	if tr == nil {
		return
	}
	if attempt == 0 {
		attempt = len(tr.Targets)
	}
	hp := hop(w, now, tr)
	hp.Role, hp.Call, hp.Attempt, hp.Kind = entry, call, attempt, kind
	if 0 < attempt && attempt <= len(tr.Targets) {
		hp.Target = tr.Targets[attempt-1]
	}
	w.Outbox.Hops = append(w.Outbox.Hops, hp)
	w.CallTraces.Delete(call)
}

func closeJobs(w *carobworld.World, now carobinstant.Instant) {
	for _, rf := range w.Outbox.Refusals {
		closeJob(w, now, rf.Job, rf.Kind)
	}
	for _, fn := range w.Inbox.Finishes {
		closeJob(w, now, fn.Job, fn.Kind)
	}
}

func closeJob(w *carobworld.World, now carobinstant.Instant, job carobjobid.ID, kind carobkind.Kind) {
	tr := w.JobTraces.Get(job)
	if tr == nil {
		return
	}
	hp := hop(w, now, tr)
	hp.Role, hp.Call, hp.Attempt, hp.Target, hp.Kind = target, job.Call, job.Attempt, tr.Targets[0], kind
	w.Outbox.Hops = append(w.Outbox.Hops, hp)
	w.JobTraces.Delete(job)
}

func hop(w *carobworld.World, now carobinstant.Instant, tr *carobtrace.Trace) carobhop.Hop {
	hp := carobhop.Hop{
		Node: w.Self.Node, Trace: tr.Own.String(),
		Start: time.Unix(0, int64(tr.Start)).UTC(), Took: carobspan.Span(now.Sub(tr.Start)),
	}
	if tr.Parent != (carobparent.Parent{}) {
		hp.Parent = hex.EncodeToString(tr.Parent.Span[:])
	}
	return hp
}
