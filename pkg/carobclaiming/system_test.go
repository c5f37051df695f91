package carobclaiming_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobcommit"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobstanding"
)

const soon = 200 * time.Millisecond

func keyOf(text string) carobkey.Key { return carobkey.Key{Service: "payouts", Text: text} }

// Of several calls with one key one runs; the others wait for its end and get
// its answer.
func TestOneOfSeveralRuns(t *testing.T) {
	r := newRig(t, "a", "b", "c")
	calls := []carobcallid.ID{r.call("a", "k", 1), r.call("b", "k", 1), r.call("c", "k", 1), r.call("a", "k", 2)}
	r.rest(soon)
	var winner carobcallid.ID
	running := 0
	for _, id := range calls {
		if r.runs(id) {
			running++
			winner = id
		}
	}
	require.Equal(t, 1, running)
	r.answer(winner, "paid")
	r.rest(soon)
	for _, id := range calls {
		if id != winner {
			require.Equal(t, "201 paid", r.told(id))
		}
	}
	late := r.call("b", "k", 9)
	r.rest(soon)
	require.Equal(t, "201 paid", r.told(late))
	for _, n := range r.nodes {
		require.Zero(t, n.world.Unsettled.Len())
	}
}

// A key whose call did not run is free again.
func TestReleased(t *testing.T) {
	r := newRig(t, "a", "b")
	first := r.call("a", "k", 1)
	r.rest(soon)
	require.True(t, r.runs(first))
	r.rest(patience)
	require.Equal(t, "late", r.told(first))
	second := r.call("b", "k", 1)
	r.rest(soon)
	require.True(t, r.runs(second))
}

func TestKeysDoNotMeet(t *testing.T) {
	r := newRig(t, "a", "b")
	ids := []carobcallid.ID{r.call("a", "k", 1), r.call("b", "l", 1), r.call("b", "", 2)}
	r.rest(soon)
	for _, id := range ids {
		require.True(t, r.runs(id))
	}
}

func TestLogOut(t *testing.T) {
	r := newRig(t, "a", "b")
	r.out = true
	keyed, plain := r.call("a", "k", 1), r.call("a", "", 2)
	r.rest(soon)
	require.False(t, r.runs(keyed))
	require.True(t, r.runs(plain), "a call without a key does not need the log")
	r.rest(patience)
	require.Equal(t, "unclaimed", r.told(keyed))

	waiting := r.call("b", "l", 1)
	r.rest(soon)
	r.out = false
	r.rest(time.Second)
	require.True(t, r.runs(waiting), "a call waits for the log within its deadline")
}

// An append whose answer was lost took effect: reading tells.
func TestLostAppendAnswer(t *testing.T) {
	r := newRig(t, "a", "b")
	r.lose = true
	id := r.call("a", "k", 1)
	r.rest(soon)
	require.True(t, r.runs(id))
	appends := r.appends
	r.rest(resend)
	require.Equal(t, appends, r.appends, "what was read back is not appended again")
}

// An append that gets no answer at all is made again, and both copies land.
func TestAppendLandsTwice(t *testing.T) {
	r := newRig(t, "a", "b")
	r.rest(soon)
	r.hold = true
	id := r.call("a", "k", 1)
	r.rest(resend + soon)
	require.False(t, r.runs(id))
	require.Len(t, r.held, 2)
	r.hold = false
	r.land(r.held[0])
	r.rest(soon)
	require.True(t, r.runs(id))
	r.answer(id, "paid")
	r.rest(soon)
	r.land(r.held[1])
	again := r.call("b", "k", 1)
	r.rest(soon)
	require.Equal(t, "201 paid", r.told(again))
}

// A home that is frozen with a claim in its hand can not win, whenever its
// append lands.
func TestFrozenHome(t *testing.T) {
	for name, early := range map[string]bool{"lands before the takeover": true, "lands behind it": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "a", "b", "c")
			r.rest(soon)
			home := r.home("k")
			entry := r.other(home)
			r.hold = true
			first := r.call(home, "k", 1)
			r.rest(soon)
			require.Len(t, r.held, 1)
			r.hold = false
			r.node(home).frozen = true
			if early {
				r.land(r.held[0])
			}
			r.lost(home, carobstanding.Unreachable)
			r.rest(soon)
			second := r.call(entry, "k", 1)
			r.rest(soon)
			require.Equal(t, !early, r.runs(second), "the order of the log decides")
			if !early {
				r.land(r.held[0])
			}
			r.node(home).frozen = false
			r.rest(soon)
			require.Equal(t, early, r.runs(first))
			require.Equal(t, !early, r.runs(second))
		})
	}
}

// A home that does not know yet that it was replaced appends in vain.
func TestTwoHomes(t *testing.T) {
	r := newRig(t, "a", "b")
	r.rest(soon)
	home := r.home("k")
	other := r.other(home)
	r.lost(home, carobstanding.Unreachable)
	first, second := r.call(home, "k", 1), r.call(other, "k", 1)
	for range 100 {
		r.rest(50 * time.Millisecond)
		require.False(t, r.runs(first) && r.runs(second))
	}
	require.Less(t, r.appends, 100, "two nodes that both want the shard do not fight all the time")
}

// The end of a call whose entry node was replaced is not known.
func TestEntryReplaced(t *testing.T) {
	r := newRig(t, "a", "b", "c")
	r.rest(soon)
	home := r.home("k")
	entry := r.other(home)
	r.call(entry, "k", 1)
	r.rest(soon)
	r.node(entry).frozen = true
	for _, n := range r.nodes {
		if pr := n.world.Peers.Get(r.node(entry).world.Self.Node); pr != nil {
			pr.Member.Incarnation++
		}
	}
	later := r.call(home, "k", 1)
	r.rest(soon)
	require.Equal(t, "key-unknown", r.told(later))
}

// A claim that is contested until the deadline does not count as not run.
func TestContestedToTheEnd(t *testing.T) {
	r := newRig(t, "a", "b")
	first := r.call("a", "k", 1)
	r.rest(soon)
	require.True(t, r.runs(first))
	r.node("a").world.Calls.Get(first).Deadline = r.now.Add(time.Hour)
	second := r.call("b", "k", 1)
	r.rest(patience + soon)
	require.Equal(t, "key-unknown", r.told(second))
	require.True(t, r.runs(first))
}

// The keys that come together share appends.
func TestGroupCommit(t *testing.T) {
	const calls = 1000
	r := newRig(t, "a", "b")
	r.rest(soon)
	require.LessOrEqual(t, r.appends, carobshard.Count, "one takeover a shard")
	before := r.appends
	for i := range calls {
		r.call("a", fmt.Sprint("key", i), uint64(i+1))
		r.rest(tick)
	}
	r.rest(soon)
	for i := range calls {
		require.True(t, r.runs(carobcallid.ID{Node: "a", Incarnation: 1, Sequence: uint64(i + 1)}))
	}
	t.Logf("%d claims in 1 s took %d appends", calls, r.appends-before)
	require.LessOrEqual(t, r.appends-before, carobshard.Count*(1000/25+10))
}

// Records of an earlier reading of a stream that come late are not taken for
// the start of it.
func TestLateRecordsOfAnEarlierReading(t *testing.T) {
	r := newRig(t, "a", "b")
	first := r.call("a", "k", 1)
	r.rest(soon)
	require.True(t, r.runs(first))
	home := r.home("k")
	other := r.other(home)
	stream := carobshard.Of(keyOf("k")).Stream()
	r.land(carobcommit.Commit{Stream: stream, Data: []byte("{}")})
	records := r.log[stream]
	r.node(other).inbox.Records = append(r.node(other).inbox.Records, records[len(records)-1])
	r.lost(home, carobstanding.Unreachable)
	r.rest(soon)
	second := r.call(other, "k", 2)
	r.rest(soon)
	require.False(t, r.runs(second))
}

// A home takes only keys within their bounds.
func TestEmptyKey(t *testing.T) {
	r := newRig(t, "a")
	r.rest(soon)
	before := r.appends
	r.node("a").inbox.Messages = []carobmessage.Message{{Back: "a", Claim: &carobclaim.Claim{Key: keyOf("")}}}
	r.rest(soon)
	require.Equal(t, before, r.appends)
}

// A caller whose key has run is not told "not run", though its answer is lost.
func TestRepeatedIsNotToldNotRun(t *testing.T) {
	r := newRig(t, "a", "b")
	first := r.call("a", "k", 1)
	r.rest(soon)
	r.answer(first, "paid")
	r.node("a").inbox.Deliveries[0].Kept = nil
	r.rest(soon)
	second := r.call("b", "k", 1)
	r.rest(soon)
	require.Equal(t, "repeated", r.told(second))
	require.False(t, carobkind.Repeated.NotRun())
}
