package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
)

const slo = 200 * time.Millisecond

// setRoute sets a route table with one route, by default to the rig's service.
func (r *rig) setRoute(guarantee carobguarantee.Guarantee, services ...carobweightedservice.WeightedService) {
	r.t.Helper()
	if len(services) == 0 {
		services = []carobweightedservice.WeightedService{{Service: service, Weight: 1}}
	}
	routes, err := carobroutetable.NewRouteTable(1, []carobroute.Route{{
		Name: "r", Host: "a.example", Prefix: "/one/", Guarantee: guarantee, Attempts: 2,
		Timeout: carobduration.Duration(400 * time.Millisecond), SLO: carobduration.Duration(slo), WeightedServices: services,
	}})
	require.NoError(r.t, err)
	r.world.RouteTable = routes
}

// arriveAt runs a tick in which a call arrives that names a host and a path instead
// of a service.
func (r *rig) arriveAt(path string) {
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{
		{Call: r.call, Request: "req", Host: "a.example", Path: path, Timeout: callTimeout},
	}})
}

// replyStatus replies to an attempt with a target's answer of this HTTP status.
func (r *rig) replyStatus(attempt, status int) {
	r.step(carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Job: r.job(attempt), Status: status}}})
}

// Guards against a 404 for an existing route from a node that has no route table
// yet.
func TestNoRouteNeedsRouteTable(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arriveAt("/one/x")
	r.requireConcluded(carobkind.NotReady)
	r.setRoute(carobguarantee.Idempotent)
	r.arriveAt("/two/x")
	r.requireConcluded(carobkind.NoRoute)
	r.arriveAt("/one/x")
	r.requireSent(1)
}

// Guards against a caller's longer timeout overriding the timeout of the route.
func TestRouteTimeoutLimitsCallerTimeout(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.OncePerCall)
	r.arriveAt("/one/x")
	require.Equal(t, 400*time.Millisecond, r.world.Outbox.Sends[0].TimeLeft)
	require.Equal(t, carobguarantee.OncePerCall, r.world.Outbox.Sends[0].Guarantee)
	require.Equal(t, slo, r.world.Outbox.Sends[0].Requirements.SLOTimeLeft)
	r.advance(400*time.Millisecond + maxOverrun + time.Millisecond)
	require.Len(t, r.world.Outbox.Conclusions, 1, "the call is concluded soon after the route's timeout")
}

// Guards against sending the calls of a service without targets to the other
// weighted service of the route.
func TestWeightedServiceWithoutTargetsKeepsItsShare(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.Idempotent, carobweightedservice.WeightedService{Service: service, Weight: 80}, carobweightedservice.WeightedService{Service: "elsewhere", Weight: 20})
	const calls = 2000
	sentHere := 0
	for i := range calls {
		r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{
			Call: carobcallid.ID{Node: "here", Incarnation: 3, Sequence: uint64(i)}, Host: "a.example", Path: "/one/", Timeout: callTimeout,
		}}})
		sentHere += len(r.world.Outbox.Sends)
	}
	require.InDelta(t, 0.8, float64(sentHere)/calls, 0.03, "the service without targets keeps its share of the calls")
}

// Guards against unbounded retries of calls that targets shed: each one costs a
// token of the retry budget.
func TestShedCallIsRetriedWithinBudget(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.OncePerCall)
	r.world.RetryBudgetOf(service).Tokens = 1
	r.arriveAt("/one/x")
	r.reply(1, carobkind.Shed)
	r.requireSent(2)
	require.Less(t, r.world.RetryBudgetOf(service).Tokens, 1.0)
	r.reply(2, carobkind.Shed)
	require.Len(t, r.world.Outbox.Conclusions, 1)
	require.Equal(t, carobkind.Shed, r.world.Outbox.Conclusions[0].Kind)
}

// Guards against a second run of a call that is not idempotent after a 5xx answer,
// and against retries of one that is beyond the budget.
func TestFailedAnswerIsRetriedOnlyIfIdempotentAndInBudget(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee carobguarantee.Guarantee
		tokens    float64
		retried   bool
	}{
		{"idempotent", carobguarantee.Idempotent, 1, true},
		{"idempotent, no budget", carobguarantee.Idempotent, 0, false},
		{"at most once", carobguarantee.OncePerCall, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.setRoute(c.guarantee)
			r.arriveAt("/one/x")
			r.world.RetryBudgetOf(service).Tokens = c.tokens
			r.replyStatus(1, 500)
			if c.retried {
				r.requireSent(2)
				r.replyStatus(2, 500)
			}
			require.Len(t, r.world.Outbox.Conclusions, 1)
			require.Equal(t, carobkind.None, r.world.Outbox.Conclusions[0].Kind, "the target's own answer is forwarded")
		})
	}
}

// refuseAttempts refuses all attempts of a call as busy until the call is concluded.
func (r *rig) refuseAttempts() {
	for attempt := 1; len(r.world.Outbox.Conclusions) == 0; attempt++ {
		r.reply(attempt, carobkind.Busy)
		for len(r.world.Outbox.Conclusions) == 0 && len(r.world.Outbox.Sends) == 0 {
			r.now = r.world.Wake()
			r.step(carobinbox.Inbox{})
		}
	}
}

// Guards against refusing a busy call so late that a retry of the caller misses the
// SLO.
func TestBusyCallIsRefusedEarlyEnoughToRetryWithinSLO(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.OncePerCall)
	r.arriveAt("/one/x")
	arrivedAt := r.now
	r.refuseAttempts()
	conclusion := r.world.Outbox.Conclusions[0]
	require.Equal(t, carobkind.Busy, conclusion.Kind)
	require.Less(t, r.now.Sub(arrivedAt), slo/2, "refused in the first half of the SLO")
	require.Positive(t, conclusion.RetryAfter)
	require.Less(t, r.now.Sub(arrivedAt)+conclusion.RetryAfter, slo, "the retry time is within the SLO")
}

// Guards against a wrong outcome at shutdown: a call that may have run is concluded
// as ConnectionLost, any other as Leaving.
func TestShutdownConcludesOpenCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply carobkind.Kind
		want  carobkind.Kind
	}{
		{"may have run", carobkind.None, carobkind.ConnectionLost},
		{"has not run", carobkind.Busy, carobkind.Leaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.setRoute(carobguarantee.OncePerCall)
			r.arriveAt("/one/x")
			for attempt := 1; c.reply != carobkind.None && len(r.world.Outbox.Sends) > 0; attempt++ {
				r.reply(attempt, c.reply)
			}
			r.step(carobinbox.Inbox{Exit: true})
			require.Len(t, r.world.Outbox.Conclusions, 1)
			require.Equal(t, c.want, r.world.Outbox.Conclusions[0].Kind)
		})
	}
}

// Guards against a call that has no ready target waiting for its deadline instead of
// being refused within its SLO.
func TestCallWithoutTargetIsRefusedEarly(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.OncePerCall)
	for _, target := range r.world.Targets.All() {
		target.Readiness = carobreadiness.Leaving
	}
	r.arriveAt("/one/x")
	arrivedAt := r.now
	r.requireOpen()
	r.advance(time.Second)
	require.Len(t, r.world.Outbox.Conclusions, 1)
	require.Equal(t, carobkind.NoTarget, r.world.Outbox.Conclusions[0].Kind)
	require.Less(t, r.now.Sub(arrivedAt), slo/2)
}

// Guards against accepting a call that cannot finish before the node exits: it is
// refused with a short retry time, so that another node can serve it.
func TestEndingNodeRefusesCallsItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		name     string
		left     time.Duration
		accepted bool
	}{
		{"ends after the route's timeout", 420 * time.Millisecond, true},
		{"ends before the route's timeout", 380 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.setRoute(carobguarantee.Idempotent)
			r.step(carobinbox.Inbox{ShutdownDeadline: r.now.Add(c.left)})
			r.arriveAt("/one/x")
			if c.accepted {
				r.requireSent(1)
				return
			}
			require.Len(t, r.world.Outbox.Conclusions, 1)
			conclusion := r.world.Outbox.Conclusions[0]
			require.Equal(t, carobkind.Leaving, conclusion.Kind)
			require.Positive(t, conclusion.RetryAfter)
			require.Less(t, conclusion.RetryAfter, slo/2, "another node can serve it within the SLO")
		})
	}
}

// Guards against a node that ends because a route's SLO is shorter than the parts into which it is divided.
func TestCallOfARouteWithATinySLOIsRefused(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.setRoute(carobguarantee.Idempotent)
	r.world.RouteTable.Routes[0].SLO = 1
	r.arriveAt("/one/x")
	require.NotPanics(t, r.refuseAttempts)
	require.Equal(t, carobkind.Busy, r.world.Outbox.Conclusions[0].Kind)
}

// Guards against a call that is refused by one busy target after the other without a pause, because its route allows many attempts.
func TestManyAttemptsDoNotRepeatRefusedOnesAtOnce(t *testing.T) {
	const attempts, atOnce = 138, 10
	r := newRig(t, carobguarantee.Idempotent)
	r.setRoute(carobguarantee.Idempotent)
	r.world.RouteTable.Routes[0].Attempts = attempts
	r.arriveAt("/one/x")
	sent := 1
	for len(r.world.Outbox.Sends) > 0 {
		r.reply(sent, carobkind.Busy)
		sent += len(r.world.Outbox.Sends)
	}
	require.Equal(t, atOnce, sent, "attempts before the first pause")
	r.requireOpen()
}
