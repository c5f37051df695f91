package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// newLimitedRig returns a rig whose call is of an organisation with a quota. There is no allocator.
func newLimitedRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, carobguarantee.OncePerCall)
	limited := clinic("key")
	limited.Rate, limited.Burst = 5, 5
	r.world.RouteTable = keyedTable(t, 1, limited)
	r.now = carobinstant.Instant(time.Hour)
	return r
}

func (r *rig) stock() *carobquotastock.QuotaStock {
	return r.world.QuotaStocks.Get("clinic")
}

// grant puts tokens into the stock, as a reply of an allocator does.
func (r *rig) grant(tokens int) {
	r.world.QuotaStocks.Put("clinic", carobquotastock.QuotaStock{
		Rate: 5, Burst: 5, Tokens: tokens, ExpiresAt: r.now.Add(2 * time.Second), Waiting: r.world.QuotaWaiting,
	})
}

// deny records that an allocator has no token for a while.
func (r *rig) deny(wait time.Duration) {
	r.stock().DeniedUntil = r.now.Add(wait)
}

// Guards against calls of an organisation that start without a token, and against calls that wait
// although their organisation has no quota.
func TestLimitedCallsTakeATokenEach(t *testing.T) {
	r := newLimitedRig(t)
	r.grant(1)
	r.arriveWith("/one/x", credential("key"))
	r.requireSent(1)
	require.Zero(t, r.stock().Tokens)
	r.call.Sequence++
	r.arriveWith("/one/x", credential("key"))
	require.Empty(t, r.world.Outbox.Sends)
	require.Equal(t, carobstage.Acquiring, r.world.Calls.Get(r.call).Stage)
	require.True(t, r.world.QuotaUrgent, "the allocator is asked at once")
	require.Equal(t, 1, r.stock().Waiting)
	r.call.Sequence++
	r.arriveWith("/open/x", credential("key"))
	r.requireSent(1)
	r.call.Sequence--
	r.grant(1)
	r.step(carobinbox.Inbox{})
	r.requireSent(1)
	require.Zero(t, r.world.QuotaWaiting+r.stock().Waiting)
}

// Guards against calls beyond the quota that wait in vain, that are told something else than that
// they did not run, or whose callers return all at once.
func TestCallsBeyondTheQuotaAreRefused(t *testing.T) {
	r := newLimitedRig(t)
	r.arriveWith("/one/x", credential("key"))
	r.requireOpen()
	r.deny(700 * time.Millisecond)
	times := map[time.Duration]bool{}
	r.step(carobinbox.Inbox{})
	for range 20 {
		require.Len(t, r.world.Outbox.Conclusions, 1)
		conclusion := r.world.Outbox.Conclusions[0]
		require.Equal(t, carobkind.Quota, conclusion.Kind)
		require.True(t, conclusion.Kind.NotRun())
		require.Equal(t, 429, conclusion.Kind.Status())
		require.Greater(t, conclusion.RetryAfter, 690*time.Millisecond)
		require.Less(t, conclusion.RetryAfter, 1700*time.Millisecond)
		times[conclusion.RetryAfter] = true
		require.Zero(t, r.world.Calls.Len()+r.world.QuotaWaiting+r.stock().Waiting)
		r.call.Sequence++
		r.arriveWith("/one/x", credential("key"))
	}
	require.Greater(t, len(times), 15)
	r.advance(time.Second)
	r.call.Sequence++
	r.arriveWith("/one/x", credential("key"))
	r.requireOpen()
	require.True(t, r.world.QuotaUrgent, "the allocator is asked again")
}

// Guards against calls that wait for an allocator until their deadline.
func TestCallsWaitBrieflyForAnAllocator(t *testing.T) {
	for _, c := range []struct {
		name      string
		slo, wait time.Duration
	}{{"no SLO", 0, 250 * time.Millisecond}, {"SLO", 800 * time.Millisecond, 100 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			r := newLimitedRig(t)
			for i := range r.world.RouteTable.Routes {
				r.world.RouteTable.Routes[i].SLO = carobduration.Duration(c.slo)
			}
			r.arriveWith("/one/x", credential("key"))
			start := r.now
			r.advance(time.Second)
			require.Len(t, r.world.Outbox.Conclusions, 1)
			require.Equal(t, carobkind.NotReady, r.world.Outbox.Conclusions[0].Kind)
			require.InDelta(t, c.wait.Seconds(), r.now.Sub(start).Seconds(), 0.001)
			require.Zero(t, r.world.QuotaWaiting+r.stock().Waiting)
		})
	}
}

// Guards against quotas that are used up by calls that never ran, and against tokens that are used
// twice.
func TestTokenOfACallThatDidNotRunReturns(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  time.Duration
		end    func(r *rig)
		tokens int
	}{
		{"no attempt reached a target", 0, func(r *rig) {
			for attempt := 1; len(r.world.Outbox.Conclusions) == 0; attempt++ {
				r.reply(attempt, carobkind.Withdrawn)
			}
		}, 3},
		{"unknown whether it ran", 0, func(r *rig) {
			r.step(carobinbox.Inbox{Disconnects: []carobcallid.ID{r.call}})
		}, 2},
		{"the tokens have expired", 3 * time.Second, func(r *rig) {
			r.step(carobinbox.Inbox{Exit: true})
		}, 2},
		{"answered", 0, func(r *rig) {
			r.step(carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Job: r.job(1), Status: 200}}})
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newLimitedRig(t)
			r.grant(3)
			r.arriveWith("/one/x", credential("key"))
			r.requireSent(1)
			require.Equal(t, 2, r.stock().Tokens)
			r.now = r.now.Add(c.after)
			c.end(r)
			require.Len(t, r.world.Outbox.Conclusions, 1)
			require.Equal(t, c.tokens, r.stock().Tokens)
		})
	}
}

// Guards against quotas that are used up by repeated calls, which are answered without running again.
func TestTokenOfARepeatedCallReturns(t *testing.T) {
	r := newLimitedRig(t)
	r.world.RouteTable.Routes[0].Guarantee = carobguarantee.OncePerKey
	r.grant(3)
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{
		Call: r.call, Request: "req", Host: "a.example", Path: "/one/x", Timeout: callTimeout, Key: "k", Credential: credential("key"),
	}}})
	require.Equal(t, carobstage.Claiming, r.world.Calls.Get(r.call).Stage)
	require.Equal(t, 2, r.stock().Tokens)
	r.step(carobinbox.Inbox{Messages: []carobmessage.Message{{ClaimReply: &carobclaimreply.ClaimReply{
		Call: r.call, Result: carobclaimresult.Repeated, StoredAnswer: &carobstoredanswer.StoredAnswer{Status: 200},
	}}}})
	require.Len(t, r.world.Outbox.Conclusions, 1)
	require.NotNil(t, r.world.Outbox.Conclusions[0].StoredAnswer)
	require.Equal(t, 3, r.stock().Tokens)
}

// Guards against a retry inside the system that counts as another call.
func TestRetriesTakeNoToken(t *testing.T) {
	r := newLimitedRig(t)
	r.grant(3)
	r.arriveWith("/one/x", credential("key"))
	r.reply(1, carobkind.Unreachable)
	r.requireSent(2)
	require.Equal(t, 2, r.stock().Tokens)
}

// Guards against calls that still count as waiting after their caller has gone, and against calls
// that are stuck when their organisation has no quota any more.
func TestWaitingEndsWithTheCallOrTheQuota(t *testing.T) {
	r := newLimitedRig(t)
	r.arriveWith("/one/x", credential("key"))
	r.step(carobinbox.Inbox{Disconnects: []carobcallid.ID{r.call}})
	require.Zero(t, r.world.QuotaWaiting+r.stock().Waiting)
	r.call.Sequence++
	r.arriveWith("/one/x", credential("key"))
	r.world.QuotaStocks.Delete("clinic")
	r.step(carobinbox.Inbox{})
	r.requireSent(1)
	require.Zero(t, r.world.QuotaWaiting)
}
