package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobonce"
)

// A call that may run once is sent again only after the first attempt was
// promised never to run.
func TestResendAfterNever(t *testing.T) {
	r := newRig(t, carobonce.Call)
	r.arrive(false)
	r.reply(1, carobkind.Cut)
	require.Empty(t, r.world.Outbox.Sends)
	require.Equal(t, []int{1}, r.fenced())
	r.fenceReply(1, carobjobstate.Never)
	r.sent(2)
}

func TestNoResendAfterAnythingElse(t *testing.T) {
	for _, state := range []carobjobstate.JobState{carobjobstate.Done, carobjobstate.Unknown} {
		t.Run(string(state), func(t *testing.T) {
			r := newRig(t, carobonce.Call)
			r.arrive(false)
			r.reply(1, carobkind.Cut)
			r.fenceReply(1, state)
			r.concluded(carobkind.Cut)
		})
	}
}

// Lost fences and replies are made up for, and the caller is told in time.
func TestVerdictNeverComes(t *testing.T) {
	r := newRig(t, carobonce.Call)
	r.arrive(false)
	came := r.now
	r.reply(1, carobkind.Cut)
	fences := 1
	for len(r.world.Outbox.Conclusions) == 0 && fences < 1000 {
		r.now = r.world.Wake()
		r.step(carobinbox.Inbox{})
		fences += len(r.fenced())
	}
	r.concluded(carobkind.Cut)
	require.Greater(t, fences, 10)
	require.LessOrEqual(t, r.now.Sub(came), patience+atMost+time.Millisecond)
}

func TestDeadline(t *testing.T) {
	cases := map[string]struct {
		state carobjobstate.JobState
		want  carobkind.Kind
	}{
		"never ran": {carobjobstate.Never, carobkind.Late},
		"running":   {carobjobstate.Running, carobkind.Expired},
		"done":      {carobjobstate.Done, carobkind.Expired},
		"unknown":   {carobjobstate.Unknown, carobkind.Expired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, carobonce.Call)
			r.arrive(false)
			r.rest(patience)
			r.step(carobinbox.Inbox{})
			r.open()
			r.fenceReply(1, c.state)
			r.concluded(c.want)
			require.Len(t, r.world.Outbox.Cancels, 1)
		})
	}
	t.Run("no reply", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		came := r.now
		r.rest(2 * patience)
		r.concluded(carobkind.Expired)
		require.LessOrEqual(t, r.now.Sub(came), patience+atMost+time.Millisecond)
	})
	t.Run("answer within the grace", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		r.rest(patience)
		r.step(carobinbox.Inbox{})
		r.reply(1, carobkind.None)
		require.Equal(t, 1, r.world.Outbox.Conclusions[0].Attempt)
	})
	t.Run("given up at the deadline", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		r.rest(patience)
		r.step(carobinbox.Inbox{})
		r.reply(1, carobkind.Cancelled)
		r.fenceReply(1, carobjobstate.Running)
		r.concluded(carobkind.Expired)
	})
	t.Run("node replaced", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		for _, pr := range r.world.Peers.All() {
			pr.Member.Incarnation++
		}
		r.rest(patience)
		r.concluded(carobkind.Expired)
	})
}

// "Not run" needs that every attempt is certain.
func TestEveryAttemptCounts(t *testing.T) {
	r := newRig(t, carobonce.No)
	r.arrive(false)
	r.reply(1, carobkind.Cut)
	r.sent(2)
	r.reply(2, carobkind.Cut)
	r.sent(3)
	r.reply(3, carobkind.Busy)
	require.ElementsMatch(t, []int{1, 2}, r.fenced())
	r.fenceReply(1, carobjobstate.Never)
	r.open()
	r.fenceReply(2, carobjobstate.Unknown)
	r.concluded(carobkind.Cut)
}

func TestEveryAttemptNeverRan(t *testing.T) {
	r := newRig(t, carobonce.No)
	r.arrive(false)
	r.reply(1, carobkind.Cut)
	r.reply(2, carobkind.Cut)
	r.reply(3, carobkind.Busy)
	r.fenceReply(1, carobjobstate.Never)
	r.fenceReply(2, carobjobstate.Never)
	r.concluded(carobkind.Withdrawn)
}

// Bytes of a streamed body may be gone, so it is not sent again.
func TestStreamedBodyIsNotSentAgain(t *testing.T) {
	r := newRig(t, carobonce.Call)
	r.arrive(true)
	r.reply(1, carobkind.Cut)
	r.fenceReply(1, carobjobstate.Never)
	r.concluded(carobkind.Withdrawn)
}

// A reply that is late or came twice changes nothing.
func TestStrayVerdicts(t *testing.T) {
	r := newRig(t, carobonce.Call)
	r.arrive(false)
	r.reply(1, carobkind.Cut)
	r.fenceReply(1, carobjobstate.Never)
	r.sent(2)
	r.fenceReply(1, carobjobstate.Running)
	r.fenceReply(7, carobjobstate.Never)
	r.open()
	require.Empty(t, r.world.Outbox.Sends)
	r.reply(2, carobkind.None)
	require.Equal(t, 2, r.world.Outbox.Conclusions[0].Attempt)
	r.fenceReply(2, carobjobstate.Never)
	r.open()
}

func TestWithdraw(t *testing.T) {
	t.Run("queued", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		r.world.Begin(carobinbox.Inbox{})
		carobentry.Withdraw(r.world, r.now, r.world.Calls.Get(r.call), 1)
		require.Equal(t, []int{1}, r.fenced())
		r.fenceReply(1, carobjobstate.Never)
		r.sent(2)
		require.EqualValues(t, 1, r.world.BudgetOf(service).Moves)
		require.Zero(t, r.world.BudgetOf(service).Spent)
	})
	t.Run("running", func(t *testing.T) {
		r := newRig(t, carobonce.Call)
		r.arrive(false)
		carobentry.Withdraw(r.world, r.now, r.world.Calls.Get(r.call), 1)
		r.fenceReply(1, carobjobstate.Running)
		require.Empty(t, r.world.Outbox.Sends)
		r.reply(1, carobkind.None)
		require.Equal(t, 1, r.world.Outbox.Conclusions[0].Attempt)
	})
}

// Resends stay within a few per cent of the calls when every attempt is cut.
func TestBudget(t *testing.T) {
	const calls, burst = 1000, 10
	r := newRig(t, carobonce.No)
	sends := 0
	for i := range calls {
		r.call = carobcallid.ID{Node: "here", Incarnation: 3, Sequence: uint64(i + 1)}
		r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: r.call, Service: service, Patience: patience}}})
		for attempt := 1; len(r.world.Outbox.Sends) > 0; attempt++ {
			sends++
			r.reply(attempt, carobkind.Cut)
		}
	}
	require.LessOrEqual(t, sends-calls, calls/20+burst)
	require.Greater(t, sends, calls, "some are sent again")
	require.EqualValues(t, sends-calls, r.world.BudgetOf(service).Spent)
	require.NotZero(t, r.world.BudgetOf(service).Denied)
}
