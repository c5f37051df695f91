// Package carobtracing traces each call on its node: it propagates the trace context from
// hop to hop and records every hop that has ended.
package carobtracing

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobopenhop"
	"github.com/carobknot/carobknot/pkg/carobspancontext"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// Seed is the seed of the random span IDs.
	Seed uint64
	// NoTracePropagation disables the propagation of trace contexts; hops are still
	// recorded. It is for deployments that do not join the hops of a call, because a trace
	// context costs bytes on each hop.
	NoTracePropagation bool
}

// System reads the inbox and the outbox of the tick. It runs after the systems that it
// traces, so that they do not depend on it.
type System struct {
	// random is separate from the world's source, so that tracing changes no decision.
	random             *rand.Rand
	noTracePropagation bool
}

// Roles of hops.
const (
	entry  = "entry"
	target = "target"
)

// NewSystem returns the system.
func NewSystem(c Config) *System {
	const stream = 2
	return &System{noTracePropagation: c.NoTracePropagation, random: rand.New(rand.NewPCG(c.Seed, stream))} //nolint:gosec // span IDs are not secret
}

// Run opens the hops of calls and offers that arrived in the tick, propagates trace
// contexts to outgoing attempts and starts, and records the hops that ended.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.openHops(w, now)
	propagate(w, s.noTracePropagation)
	closeCalls(w, now)
	closeJobs(w, now)
}

// openHops adds a row for each call and each offer that arrived.
func (s *System) openHops(w *carobworld.World, now carobinstant.Instant) {
	for i := range w.Inbox.Arrivals {
		ar := &w.Inbox.Arrivals[i]
		w.OpenCallHops.Put(ar.Call, s.newOpenHop(ar.Traceparent, now))
	}
	for i := range w.Inbox.Offers {
		of := &w.Inbox.Offers[i]
		open := s.newOpenHop(of.Traceparent, now)
		open.Targets = []carobtargetid.ID{of.Target}
		w.OpenJobHops.Put(of.Job, open)
	}
}

// newOpenHop returns a hop whose parent is the span in the header, or the first hop of a
// new trace if the header is not a valid trace context.
func (s *System) newOpenHop(header string, now carobinstant.Instant) carobopenhop.OpenHop {
	parent, ok := carobspancontext.Parse(header)
	if !ok {
		return carobopenhop.OpenHop{Context: carobspancontext.NewSpanContext(s.random), StartedAt: now}
	}
	return carobopenhop.OpenHop{Context: parent.Child(s.random), Parent: parent, StartedAt: now}
}

// propagate records the targets of the attempts that are sent and, unless propagation is
// disabled, adds the trace context to outgoing attempts and starts.
func propagate(w *carobworld.World, noTracePropagation bool) {
	for i := range w.Outbox.Sends {
		sd := &w.Outbox.Sends[i]
		if open := w.OpenCallHops.Get(sd.Job.Call); open != nil {
			open.Targets = append(open.Targets, sd.Target)
			if !noTracePropagation {
				sd.Traceparent = open.Context.String()
			}
		}
	}
	for i := range w.Outbox.Starts {
		st := &w.Outbox.Starts[i]
		if open := w.OpenJobHops.Get(st.Job); open != nil && !noTracePropagation {
			st.Traceparent = open.Context.String()
		}
	}
}

// closeCalls records the calls that ended in this tick.
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

// closeCall records the hop of a call that has ended. An attempt of 0 means the last one
// sent. It does nothing if the call's hop has been recorded already.
func closeCall(w *carobworld.World, now carobinstant.Instant, call carobcallid.ID, attempt int, kind carobkind.Kind) {
	open := w.OpenCallHops.Get(call)
	if open == nil {
		return
	}
	if attempt == 0 {
		attempt = len(open.Targets)
	}
	hp := newHop(w, now, open)
	hp.Role, hp.Call, hp.Attempt, hp.Kind = entry, call, attempt, kind
	if 0 < attempt && attempt <= len(open.Targets) {
		hp.Target = open.Targets[attempt-1]
	}
	w.Outbox.Hops = append(w.Outbox.Hops, hp)
	w.OpenCallHops.Delete(call)
}

// closeJobs records the jobs that were refused or finished in this tick.
func closeJobs(w *carobworld.World, now carobinstant.Instant) {
	for _, rf := range w.Outbox.Refusals {
		closeJob(w, now, rf.Job, rf.Kind)
	}
	for _, fn := range w.Inbox.Finishes {
		closeJob(w, now, fn.Job, fn.Kind)
	}
}

// closeJob records the hop of a job that has ended. It does nothing if the job's hop has
// been recorded already.
func closeJob(w *carobworld.World, now carobinstant.Instant, job carobjobid.ID, kind carobkind.Kind) {
	open := w.OpenJobHops.Get(job)
	if open == nil {
		return
	}
	hp := newHop(w, now, open)
	hp.Role, hp.Call, hp.Attempt, hp.Target, hp.Kind = target, job.Call, job.Attempt, open.Targets[0], kind
	w.Outbox.Hops = append(w.Outbox.Hops, hp)
	w.OpenJobHops.Delete(job)
}

// newHop returns the record of a hop that ends now, without its role, call, attempt,
// target and kind.
func newHop(w *carobworld.World, now carobinstant.Instant, open *carobopenhop.OpenHop) carobhop.Hop {
	hp := carobhop.Hop{
		Node: w.Self.Node, Traceparent: open.Context.String(),
		StartedAt: time.Unix(0, int64(open.StartedAt)).UTC(), Duration: carobduration.Duration(now.Sub(open.StartedAt)),
	}
	if open.Parent != (carobspancontext.SpanContext{}) {
		hp.Parent = hex.EncodeToString(open.Parent.SpanID[:])
	}
	return hp
}
