package carobtracing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobspancontext"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

var (
	call  = carobcallid.ID{Node: "near", Incarnation: 1, Sequence: 1}
	first = carobtargetid.ID{Service: "lookups", Name: "a"}
	other = carobtargetid.ID{Service: "lookups", Name: "b"}
)

func job(attempt int) carobjobid.ID { return carobjobid.ID{Call: call, Attempt: attempt} }

// node runs the tracing system on ticks with a given inbox and outbox.
type node struct {
	world  *carobworld.World
	system *System
	now    carobinstant.Instant
}

func newNode() *node {
	return &node{
		world:  carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}),
		system: NewSystem(Config{Seed: 7}),
	}
}

// tick runs one tick, a millisecond after the previous one, and returns its hops.
func (n *node) tick(in carobinbox.Inbox, out caroboutbox.Outbox) []carobhop.Hop {
	n.now = n.now.Add(time.Millisecond)
	n.world.BeginTick(in)
	n.world.Outbox = out
	n.system.Run(n.world, n.now)
	return n.world.Outbox.Hops
}

// parse requires a header to be a valid trace context and returns the context.
func parse(t *testing.T, header string) carobspancontext.SpanContext {
	t.Helper()
	p, ok := carobspancontext.Parse(header)
	require.True(t, ok, header)
	return p
}

// Guards against hops that cannot be joined to one trace, and against a hop with the
// target of another attempt than the answered one.
func TestAnsweredCallHasHopOnEachNode(t *testing.T) {
	near, far := newNode(), newNode()
	arrival := carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: call}}}
	require.Empty(t, near.tick(arrival, caroboutbox.Outbox{Sends: []carobsend.Send{{Job: job(1), Target: first}}}))
	sent := near.world.Outbox.Sends[0].Traceparent
	require.Empty(t, near.tick(carobinbox.Inbox{}, caroboutbox.Outbox{Sends: []carobsend.Send{{Job: job(2), Target: other}}}))
	require.Equal(t, sent, near.world.Outbox.Sends[0].Traceparent, "all attempts have the call's span as their parent")

	offer := carobinbox.Inbox{Offers: []caroboffer.Offer{{Job: job(1), Target: first, Traceparent: sent}}}
	require.Empty(t, far.tick(offer, caroboutbox.Outbox{Starts: []carobstart.Start{{Job: job(1)}}}))
	started := far.world.Outbox.Starts[0].Traceparent
	require.Equal(t, parse(t, sent).TraceID, parse(t, started).TraceID)
	require.NotEqual(t, sent, started)

	hops := far.tick(carobinbox.Inbox{Finishes: []carobfinish.Finish{{Job: job(1), Status: 200}}}, caroboutbox.Outbox{})
	require.Len(t, hops, 1)
	require.Equal(t, target, hops[0].Role)
	require.Equal(t, started, hops[0].Traceparent)
	require.Contains(t, sent, hops[0].Parent)
	require.Equal(t, first, hops[0].Target)

	hops = near.tick(carobinbox.Inbox{Deliveries: []carobdelivery.Delivery{{Job: job(1)}}}, caroboutbox.Outbox{})
	require.Len(t, hops, 1)
	require.Equal(t, entry, hops[0].Role)
	require.Equal(t, first, hops[0].Target, "the target is that of the delivered attempt, not of the last one")
	require.Equal(t, carobduration.Duration(2*time.Millisecond), hops[0].Duration)
	require.Equal(t, sent, hops[0].Traceparent)
	require.Empty(t, hops[0].Parent)
}

// Guards against refused calls and jobs that have no record or leave rows in the tables.
func TestRefusedCallHasHops(t *testing.T) {
	near, far := newNode(), newNode()
	hops := far.tick(carobinbox.Inbox{Offers: []caroboffer.Offer{{Job: job(1), Target: first}}},
		caroboutbox.Outbox{Refusals: []carobrefusal.Refusal{{Job: job(1), Kind: carobkind.Busy}}})
	require.Len(t, hops, 1)
	require.Equal(t, carobkind.Busy, hops[0].Kind)

	hops = near.tick(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: call}}},
		caroboutbox.Outbox{Conclusions: []carobconclusion.Conclusion{{Call: call, Kind: carobkind.NoTarget}}})
	require.Len(t, hops, 1)
	require.Equal(t, carobkind.NoTarget, hops[0].Kind)
	require.Zero(t, hops[0].Attempt)
	require.Zero(t, near.world.OpenCallHops.Len()+far.world.OpenJobHops.Len(), "no row is left")
}

// Guards against two records of one call. The traffic goroutines may report the end of a call
// more than once: by a conclusion, and by deliveries in the same or a later tick.
func TestCallIsRecordedOnce(t *testing.T) {
	near := newNode()
	near.tick(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: call}}}, caroboutbox.Outbox{})
	hops := near.tick(carobinbox.Inbox{Deliveries: []carobdelivery.Delivery{{Job: job(1), Kind: carobkind.ConnectionLost}}},
		caroboutbox.Outbox{Conclusions: []carobconclusion.Conclusion{{Call: call, Kind: carobkind.Cancelled}}})
	require.Len(t, hops, 1)
	require.Empty(t, near.tick(carobinbox.Inbox{Deliveries: []carobdelivery.Delivery{{Job: job(1)}}}, caroboutbox.Outbox{}))
}
