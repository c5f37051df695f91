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
	const randomStream = 2
	return &System{noTracePropagation: c.NoTracePropagation, random: rand.New(rand.NewPCG(c.Seed, randomStream))} //nolint:gosec // span IDs are not secret
}

// Run opens the hops of calls and offers that arrived in the tick, propagates trace
// contexts to outgoing attempts and starts, and records the hops that ended.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	s.openHops(world, now)
	propagate(world, s.noTracePropagation)
	closeCalls(world, now)
	closeJobs(world, now)
}

// openHops adds a row for each call and each offer that arrived.
func (s *System) openHops(world *carobworld.World, now carobinstant.Instant) {
	for i := range world.Inbox.Arrivals {
		arrival := &world.Inbox.Arrivals[i]
		world.OpenCallHops.Put(arrival.Call, s.newOpenHop(arrival.Traceparent, now))
	}
	for i := range world.Inbox.Offers {
		offer := &world.Inbox.Offers[i]
		open := s.newOpenHop(offer.Traceparent, now)
		open.Targets = []carobtargetid.ID{offer.Target}
		world.OpenJobHops.Put(offer.Job, open)
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
func propagate(world *carobworld.World, noTracePropagation bool) {
	for i := range world.Outbox.Sends {
		send := &world.Outbox.Sends[i]
		if open := world.OpenCallHops.Get(send.Job.Call); open != nil {
			open.Targets = append(open.Targets, send.Target)
			if !noTracePropagation {
				send.Traceparent = open.Context.String()
			}
		}
	}
	for i := range world.Outbox.Starts {
		start := &world.Outbox.Starts[i]
		if open := world.OpenJobHops.Get(start.Job); open != nil && !noTracePropagation {
			start.Traceparent = open.Context.String()
		}
	}
}

// closeCalls records the calls that ended in this tick.
func closeCalls(world *carobworld.World, now carobinstant.Instant) {
	for _, conclusion := range world.Outbox.Conclusions {
		if conclusion.Kind != carobkind.None {
			closeCall(world, now, conclusion.Call, 0, conclusion.Kind)
		}
	}
	for _, delivery := range world.Inbox.Deliveries {
		closeCall(world, now, delivery.Job.Call, delivery.Job.Attempt, delivery.Kind)
	}
}

// closeCall records the hop of a call that has ended. An attempt of 0 means the last one
// sent. It does nothing if the call's hop has been recorded already.
func closeCall(world *carobworld.World, now carobinstant.Instant, call carobcallid.ID, attempt int, kind carobkind.Kind) {
	open := world.OpenCallHops.Get(call)
	if open == nil {
		return
	}
	if attempt == 0 {
		attempt = len(open.Targets)
	}
	hop := newHop(world, now, open)
	hop.Role, hop.Call, hop.Attempt, hop.Kind = entry, call, attempt, kind
	if 0 < attempt && attempt <= len(open.Targets) {
		hop.Target = open.Targets[attempt-1]
	}
	world.Outbox.Hops = append(world.Outbox.Hops, hop)
	world.OpenCallHops.Delete(call)
}

// closeJobs records the jobs that were refused or finished in this tick.
func closeJobs(world *carobworld.World, now carobinstant.Instant) {
	for _, refusal := range world.Outbox.Refusals {
		closeJob(world, now, refusal.Job, refusal.Kind)
	}
	for _, finish := range world.Inbox.Finishes {
		closeJob(world, now, finish.Job, finish.Kind)
	}
}

// closeJob records the hop of a job that has ended. It does nothing if the job's hop has
// been recorded already.
func closeJob(world *carobworld.World, now carobinstant.Instant, job carobjobid.ID, kind carobkind.Kind) {
	open := world.OpenJobHops.Get(job)
	if open == nil {
		return
	}
	hop := newHop(world, now, open)
	hop.Role, hop.Call, hop.Attempt, hop.Target, hop.Kind = target, job.Call, job.Attempt, open.Targets[0], kind
	world.Outbox.Hops = append(world.Outbox.Hops, hop)
	world.OpenJobHops.Delete(job)
}

// newHop returns the record of a hop that ends now, without its role, call, attempt,
// target and kind.
func newHop(world *carobworld.World, now carobinstant.Instant, open *carobopenhop.OpenHop) carobhop.Hop {
	hop := carobhop.Hop{
		Node: world.Self.Node, Traceparent: open.Context.String(),
		StartedAt: time.Unix(0, int64(open.StartedAt)).UTC(), Duration: carobduration.Duration(now.Sub(open.StartedAt)),
	}
	if open.Parent != (carobspancontext.SpanContext{}) {
		hop.Parent = hex.EncodeToString(open.Parent.SpanID[:])
	}
	return hop
}
