package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against a second run of a call that may run once: after a broken connection
// it is retried only once the fence reply says that the first attempt never runs.
func TestCallIsRetriedAfterFencedAsNever(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arrive(false)
	r.reply(1, carobkind.ConnectionLost)
	require.Empty(t, r.world.Outbox.Sends)
	require.Equal(t, []int{1}, r.fencedAttempts())
	r.fenceReply(1, carobjobstate.Never)
	r.requireSent(2)
}

// Guards against a second run: an attempt that ran, or whose state is unknown, is
// not retried.
func TestCallIsNotRetriedUnlessFencedAsNever(t *testing.T) {
	for _, state := range []carobjobstate.JobState{carobjobstate.Done, carobjobstate.Unknown} {
		t.Run(string(state), func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.arrive(false)
			r.reply(1, carobkind.ConnectionLost)
			r.fenceReply(1, state)
			r.requireConcluded(carobkind.ConnectionLost)
		})
	}
}

// Guards against a caller without a response when fences or their replies are lost:
// fences are sent again, and the call is concluded soon after its deadline.
func TestCallIsConcludedWithoutFenceReply(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arrive(false)
	arrivedAt := r.now
	r.reply(1, carobkind.ConnectionLost)
	fences := 1
	for len(r.world.Outbox.Conclusions) == 0 && fences < 1000 {
		r.now = r.world.Wake()
		r.step(carobinbox.Inbox{})
		fences += len(r.fencedAttempts())
	}
	r.requireConcluded(carobkind.ConnectionLost)
	require.Greater(t, fences, 10)
	require.LessOrEqual(t, r.now.Sub(arrivedAt), callTimeout+maxOverrun+time.Millisecond)
}

// Guards against a wrong outcome at the deadline: a call is concluded as
// NotStartedInTime only if a fence reply shows that it never runs, and otherwise
// as Expired.
func TestDeadlineFencesOpenAttempts(t *testing.T) {
	cases := map[string]struct {
		state carobjobstate.JobState
		want  carobkind.Kind
	}{
		"never ran": {carobjobstate.Never, carobkind.NotStartedInTime},
		"running":   {carobjobstate.Running, carobkind.Expired},
		"done":      {carobjobstate.Done, carobkind.Expired},
		"unknown":   {carobjobstate.Unknown, carobkind.Expired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.arrive(false)
			r.advance(callTimeout)
			r.step(carobinbox.Inbox{})
			r.requireOpen()
			r.fenceReply(1, c.state)
			r.requireConcluded(c.want)
			require.Len(t, r.world.Outbox.Cancels, 1)
		})
	}
	t.Run("no reply", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		arrivedAt := r.now
		r.advance(2 * callTimeout)
		r.requireConcluded(carobkind.Expired)
		require.LessOrEqual(t, r.now.Sub(arrivedAt), callTimeout+maxOverrun+time.Millisecond)
	})
	t.Run("answer within the grace period", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		r.advance(callTimeout)
		r.step(carobinbox.Inbox{})
		r.reply(1, carobkind.None)
		require.Equal(t, 1, r.world.Outbox.Conclusions[0].Attempt)
	})
	t.Run("cancelled at the deadline", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		r.advance(callTimeout)
		r.step(carobinbox.Inbox{})
		r.reply(1, carobkind.Cancelled)
		r.fenceReply(1, carobjobstate.Running)
		r.requireConcluded(carobkind.Expired)
	})
	t.Run("node replaced", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		for _, peer := range r.world.Peers.All() {
			peer.Member.Incarnation++
		}
		r.advance(callTimeout)
		r.requireConcluded(carobkind.Expired)
	})
}

// Guards against the outcome "not run" when only some of the attempts are known
// never to run.
func TestOneUnknownAttemptMakesOutcomeUnknown(t *testing.T) {
	r := newRig(t, carobguarantee.Idempotent)
	r.arrive(false)
	r.reply(1, carobkind.ConnectionLost)
	r.requireSent(2)
	r.reply(2, carobkind.ConnectionLost)
	r.requireSent(3)
	r.reply(3, carobkind.Busy)
	require.ElementsMatch(t, []int{1, 2}, r.fencedAttempts())
	r.fenceReply(1, carobjobstate.Never)
	r.requireOpen()
	r.fenceReply(2, carobjobstate.Unknown)
	r.requireConcluded(carobkind.ConnectionLost)
}

// Guards against an unknown outcome of a call whose attempts are all known never to
// run.
func TestCallIsWithdrawnIfNoAttemptRan(t *testing.T) {
	r := newRig(t, carobguarantee.Idempotent)
	r.arrive(false)
	r.reply(1, carobkind.ConnectionLost)
	r.reply(2, carobkind.ConnectionLost)
	r.reply(3, carobkind.Busy)
	r.fenceReply(1, carobjobstate.Never)
	r.fenceReply(2, carobjobstate.Never)
	r.requireConcluded(carobkind.Withdrawn)
}

// Guards against retrying a call with a truncated body: a streamed body is not
// buffered, and part of it may already be consumed.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arrive(true)
	r.reply(1, carobkind.ConnectionLost)
	r.fenceReply(1, carobjobstate.Never)
	r.requireConcluded(carobkind.Withdrawn)
}

// Guards against late, duplicate or misaddressed fence replies changing the state of
// a call.
func TestStrayFenceRepliesAreIgnored(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arrive(false)
	r.reply(1, carobkind.ConnectionLost)
	r.fenceReply(1, carobjobstate.Never)
	r.requireSent(2)
	r.fenceReply(1, carobjobstate.Running)
	r.fenceReply(7, carobjobstate.Never)
	r.requireOpen()
	require.Empty(t, r.world.Outbox.Sends)
	r.reply(2, carobkind.None)
	require.Equal(t, 2, r.world.Outbox.Conclusions[0].Attempt)
	r.fenceReply(2, carobjobstate.Never)
	r.requireOpen()
}

// Guards against withdrawing a running attempt, and against charging the retry
// budget for moving a queued one.
func TestWithdraw(t *testing.T) {
	t.Run("queued", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		r.world.BeginTick(carobinbox.Inbox{})
		carobentry.Withdraw(r.world, r.now, r.world.Calls.Get(r.call), 1)
		require.Equal(t, []int{1}, r.fencedAttempts())
		r.fenceReply(1, carobjobstate.Never)
		r.requireSent(2)
		require.EqualValues(t, 1, r.world.RetryBudgetOf(service).FreeRetries)
		require.Zero(t, r.world.RetryBudgetOf(service).Spent)
	})
	t.Run("running", func(t *testing.T) {
		r := newRig(t, carobguarantee.OncePerCall)
		r.arrive(false)
		carobentry.Withdraw(r.world, r.now, r.world.Calls.Get(r.call), 1)
		r.fenceReply(1, carobjobstate.Running)
		require.Empty(t, r.world.Outbox.Sends)
		r.reply(1, carobkind.None)
		require.Equal(t, 1, r.world.Outbox.Conclusions[0].Attempt)
	})
}

// Guards against retry storms: when the connection of every attempt breaks, retries
// stay within a few per cent of the calls.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	const calls, burst = 1000, 10
	r := newRig(t, carobguarantee.Idempotent)
	sends := 0
	for i := range calls {
		r.call = carobcallid.ID{Node: "here", Incarnation: 3, Sequence: uint64(i + 1)}
		r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: r.call, Service: service, Timeout: callTimeout}}})
		for attempt := 1; len(r.world.Outbox.Sends) > 0; attempt++ {
			sends++
			r.reply(attempt, carobkind.ConnectionLost)
		}
	}
	require.LessOrEqual(t, sends-calls, calls/20+burst)
	require.Greater(t, sends, calls, "some calls are retried")
	require.EqualValues(t, sends-calls, r.world.RetryBudgetOf(service).Spent)
	require.NotZero(t, r.world.RetryBudgetOf(service).Denied)
}
