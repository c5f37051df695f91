package carobclaiming_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobshard"
)

const shortWait = 200 * time.Millisecond

func keyOf(text string) carobkey.Key { return carobkey.Key{Service: "payouts", Text: text} }

// Guards against running calls with one key more than once: concurrent calls at
// several entry nodes wait for the one that runs, and they and later calls get
// its answer.
func TestOnlyOneOfSeveralCallsWithAKeyRuns(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	calls := []carobcallid.ID{cluster.startCall("a", "k", 1), cluster.startCall("b", "k", 1), cluster.startCall("c", "k", 1), cluster.startCall("a", "k", 2)}
	cluster.advance(shortWait)
	var winner carobcallid.ID
	running := 0
	for _, id := range calls {
		if cluster.mayRun(id) {
			running++
			winner = id
		}
	}
	require.Equal(t, 1, running)
	cluster.finishCall(winner, "paid")
	cluster.advance(shortWait)
	for _, id := range calls {
		if id != winner {
			require.Equal(t, "201 paid", cluster.result(id))
		}
	}
	lateCall := cluster.startCall("b", "k", 9)
	cluster.advance(shortWait)
	require.Equal(t, "201 paid", cluster.result(lateCall))
	for _, n := range cluster.nodes {
		require.Zero(t, n.world.PendingSettlements.Len())
	}
}

// Guards against a key that stays held although its call timed out before it was
// started, so that a resubmission could never run.
func TestKeyOfACallThatDidNotRunIsReleased(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	first := cluster.startCall("a", "k", 1)
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(first))
	cluster.advance(callTimeout)
	require.Equal(t, "late", cluster.result(first))
	second := cluster.startCall("b", "k", 1)
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(second))
}

// Guards against calls that wait for each other although they have different keys,
// or none.
func TestCallsWithOtherKeysRunAtTheSameTime(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	calls := []carobcallid.ID{cluster.startCall("a", "k", 1), cluster.startCall("b", "l", 1), cluster.startCall("b", "", 2)}
	cluster.advance(shortWait)
	for _, id := range calls {
		require.True(t, cluster.mayRun(id))
	}
}

// Guards against running a call whose claim is not in the log, and against a log
// outage that stops calls without keys. A call that still has time when the log is
// back must run.
func TestLogOutageBlocksOnlyCallsWithKeys(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	cluster.logDown = true
	keyed, plain := cluster.startCall("a", "k", 1), cluster.startCall("a", "", 2)
	cluster.advance(shortWait)
	require.False(t, cluster.mayRun(keyed))
	require.True(t, cluster.mayRun(plain), "a call without a key does not need the log")
	cluster.advance(callTimeout)
	require.Equal(t, "unclaimed", cluster.result(keyed))

	waiting := cluster.startCall("b", "l", 1)
	cluster.advance(shortWait)
	cluster.logDown = false
	cluster.advance(time.Second)
	require.True(t, cluster.mayRun(waiting), "a call waits for the log until its deadline")
}

// Guards against a call that stays without its key, and against a second append,
// when the append took effect and only its response was lost.
func TestClaimIsGrantedWithoutAnAppendResponse(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	cluster.loseResponses = true
	id := cluster.startCall("a", "k", 1)
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(id))
	appends := cluster.appends
	cluster.advance(readBackTimeout)
	require.Equal(t, appends, cluster.appends, "a batch that was read back is not appended again")
}

// Guards against a claim that holds a second time or is lost when an append gets no
// response at all: the home appends the batch again, and both copies reach the log.
func TestBatchInTheLogTwiceChangesNothing(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	cluster.advance(shortWait)
	cluster.holdAppends = true
	id := cluster.startCall("a", "k", 1)
	cluster.advance(readBackTimeout + shortWait)
	require.False(t, cluster.mayRun(id))
	require.Len(t, cluster.heldAppends, 2)
	cluster.holdAppends = false
	cluster.appendRecord(cluster.heldAppends[0])
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(id))
	cluster.finishCall(id, "paid")
	cluster.advance(shortWait)
	cluster.appendRecord(cluster.heldAppends[1])
	again := cluster.startCall("b", "k", 1)
	cluster.advance(shortWait)
	require.Equal(t, "201 paid", cluster.result(again))
}

// Guards against two holders of one key: a home is paused with an append in flight,
// and the append reaches the log before or after another home takes the shard over.
// After the takeover it must not count.
func TestLogOrderDecidesAfterAPausedHome(t *testing.T) {
	for name, beforeTakeover := range map[string]bool{"append before the takeover": true, "append after the takeover": false} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, "a", "b", "c")
			cluster.advance(shortWait)
			home := cluster.homeOf("k")
			entryNode := cluster.otherNode(home)
			cluster.holdAppends = true
			first := cluster.startCall(home, "k", 1)
			cluster.advance(shortWait)
			require.Len(t, cluster.heldAppends, 1)
			cluster.holdAppends = false
			cluster.node(home).frozen = true
			if beforeTakeover {
				cluster.appendRecord(cluster.heldAppends[0])
			}
			cluster.setLiveness(home, carobliveness.Unreachable)
			cluster.advance(shortWait)
			second := cluster.startCall(entryNode, "k", 1)
			cluster.advance(shortWait)
			require.Equal(t, !beforeTakeover, cluster.mayRun(second), "the order of the log decides")
			if !beforeTakeover {
				cluster.appendRecord(cluster.heldAppends[0])
			}
			cluster.node(home).frozen = false
			cluster.advance(shortWait)
			require.Equal(t, beforeTakeover, cluster.mayRun(first))
			require.Equal(t, !beforeTakeover, cluster.mayRun(second))
		})
	}
}

// Guards against a key that is granted by two nodes that both act as the home of
// its shard, and against an append for each of their attempts to take it over.
func TestTwoHomesGrantAKeyOnce(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	cluster.advance(shortWait)
	home := cluster.homeOf("k")
	other := cluster.otherNode(home)
	cluster.setLiveness(home, carobliveness.Unreachable)
	first, second := cluster.startCall(home, "k", 1), cluster.startCall(other, "k", 1)
	for range 100 {
		cluster.advance(50 * time.Millisecond)
		require.False(t, cluster.mayRun(first) && cluster.mayRun(second))
	}
	require.Less(t, cluster.appends, 100, "two homes of a shard must not keep taking it from each other")
}

// Guards against calls that wait until their deadline for a key whose call can
// never be settled, since a newer incarnation has replaced its entry node.
func TestCallOfAReplacedEntryIsUnknown(t *testing.T) {
	cluster := newCluster(t, "a", "b", "c")
	cluster.advance(shortWait)
	home := cluster.homeOf("k")
	entryNode := cluster.otherNode(home)
	cluster.startCall(entryNode, "k", 1)
	cluster.advance(shortWait)
	cluster.node(entryNode).frozen = true
	for _, n := range cluster.nodes {
		if peer := n.world.Peers.Get(cluster.node(entryNode).world.Self.Node); peer != nil {
			peer.Member.Incarnation++
		}
	}
	later := cluster.startCall(home, "k", 1)
	cluster.advance(shortWait)
	require.Equal(t, "key-unknown", cluster.result(later))
}

// Guards against reporting "not run" to a caller while another call with its key is
// still running: it waits for the key until its deadline.
func TestCallWaitingForAHeldKeyEndsAsUnknown(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	first := cluster.startCall("a", "k", 1)
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(first))
	cluster.node("a").world.Calls.Get(first).Deadline = cluster.now.Add(time.Hour)
	second := cluster.startCall("b", "k", 1)
	cluster.advance(callTimeout + shortWait)
	require.Equal(t, "key-unknown", cluster.result(second))
	require.True(t, cluster.mayRun(first))
}

// Guards against one append for each claim, which would bound the rate of claims by
// the rate of appends.
func TestConcurrentClaimsShareAppends(t *testing.T) {
	const calls = 1000
	cluster := newCluster(t, "a", "b")
	cluster.advance(shortWait)
	require.LessOrEqual(t, cluster.appends, carobshard.Count, "one takeover for each shard")
	before := cluster.appends
	for i := range calls {
		cluster.startCall("a", fmt.Sprint("key", i), uint64(i+1))
		cluster.advance(tick)
	}
	cluster.advance(shortWait)
	for i := range calls {
		require.True(t, cluster.mayRun(carobcallid.ID{Node: "a", Incarnation: 1, Sequence: uint64(i + 1)}))
	}
	t.Logf("%d claims in 1 s took %d appends", calls, cluster.appends-before)
	require.LessOrEqual(t, cluster.appends-before, carobshard.Count*(1000/25+10))
}

// Guards against a node that becomes the home, gets a late record from an earlier
// subscription to the stream, and folds it as the first record of the stream: it
// would miss the claims before that record and grant their keys again.
func TestLateRecordsOfAnEarlierSubscriptionAreSkipped(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	first := cluster.startCall("a", "k", 1)
	cluster.advance(shortWait)
	require.True(t, cluster.mayRun(first))
	home := cluster.homeOf("k")
	other := cluster.otherNode(home)
	stream := carobshard.Of(keyOf("k")).Stream()
	cluster.appendRecord(carobappendrequest.AppendRequest{Stream: stream, Data: []byte("{}")})
	records := cluster.log[stream]
	cluster.node(other).inbox.Records = append(cluster.node(other).inbox.Records, records[len(records)-1])
	cluster.setLiveness(home, carobliveness.Unreachable)
	cluster.advance(shortWait)
	second := cluster.startCall(other, "k", 2)
	cluster.advance(shortWait)
	require.False(t, cluster.mayRun(second))
}

// Guards against invalid keys in the log, from a message that did not pass the
// checks of an entry node.
func TestEmptyKeyIsNotAppended(t *testing.T) {
	cluster := newCluster(t, "a")
	cluster.advance(shortWait)
	before := cluster.appends
	cluster.node("a").inbox.Messages = []carobmessage.Message{{ReplyTo: "a", Claim: &carobclaim.Claim{Key: keyOf("")}}}
	cluster.advance(shortWait)
	require.Equal(t, before, cluster.appends)
}

// Guards against reporting "not run" to a caller whose key has run, when the
// answer of the earlier call was not stored.
func TestCallAfterALostAnswerIsRepeated(t *testing.T) {
	cluster := newCluster(t, "a", "b")
	first := cluster.startCall("a", "k", 1)
	cluster.advance(shortWait)
	cluster.finishCall(first, "paid")
	cluster.node("a").inbox.Deliveries[0].StoredAnswer = nil
	cluster.advance(shortWait)
	second := cluster.startCall("b", "k", 1)
	cluster.advance(shortWait)
	require.Equal(t, "repeated", cluster.result(second))
	require.False(t, carobkind.Repeated.NotRun())
}
