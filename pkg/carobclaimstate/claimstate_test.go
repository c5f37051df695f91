package carobclaimstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimstate"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

func claim(key string, sequence uint64) carobclaim.Claim {
	return carobclaim.Claim{
		Key: carobkey.Key{Service: "payouts", Text: key}, Call: carobcallid.ID{Node: "e", Sequence: sequence},
	}
}

func takeover(node string) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Node: carobnodeid.ID(node), Number: 1, Takeover: true, Epoch: caroboffset.BeforeFirst}
}

func batch(node string, epoch caroboffset.Offset, number uint64, claims ...carobclaim.Claim) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Node: carobnodeid.ID(node), Number: number, Epoch: epoch, Claims: claims}
}

func settle(settled carobclaim.Claim, kind carobkind.Kind) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Settlements: []carobsettlement.Settlement{{Claim: settled, Kind: kind}}}
}

// Guards against two calls that hold one key, and against a key that stays held
// though its call did not run: through batches of a home that was replaced, copies
// of a batch, and takeovers that the log no longer keeps.
func TestFoldFollowsTheOrderOfTheLog(t *testing.T) {
	k1, k2, k3 := claim("k", 1), claim("k", 2), claim("k", 3)
	cases := map[string]struct {
		// from is the offset of the first record.
		from    caroboffset.Offset
		records []carobclaimbatch.Batch
		// holder is the sequence number of the call that holds the key; 0 if none does.
		holder uint64
		ended  bool
	}{
		"nothing":                            {},
		"first claim wins":                   {0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), batch("a", 0, 3, k2)}, 1, false},
		"empty batch without a takeover":     {0, []carobclaimbatch.Batch{batch("a", -1, 2)}, 0, false},
		"claim without a takeover":           {0, []carobclaimbatch.Batch{batch("a", caroboffset.BeforeFirst, 2, k1)}, 0, false},
		"claim of an old epoch":              {0, []carobclaimbatch.Batch{takeover("a"), takeover("b"), batch("a", 0, 2, k1)}, 0, false},
		"claims before and after a takeover": {0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), takeover("b"), batch("b", 2, 2, k2)}, 1, false},
		"shard taken back":                   {0, []carobclaimbatch.Batch{takeover("a"), takeover("b"), takeover("a"), batch("a", 0, 2, k1), batch("a", 2, 3, k2)}, 2, false},
		"ended":                              {0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k1, carobkind.None)}, 1, true},
		"ended with an unknown outcome":      {0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k1, carobkind.ConnectionLost)}, 1, true},
		"released":                           {0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Busy)}, 0, false},
		"settlement of another call": {
			0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k2, carobkind.Busy)}, 1, false,
		},
		"release after the settlement": {
			0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k1, carobkind.ConnectionLost), settle(k1, carobkind.Busy)}, 1, true,
		},
		"copy of a claim after its release": {
			0, []carobclaimbatch.Batch{takeover("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Busy), batch("a", 0, 2, k1)}, 0, false,
		},
		"copy of a takeover": {
			0, []carobclaimbatch.Batch{takeover("a"), takeover("a"), batch("a", 0, 2, k1), batch("a", 1, 3, k2)}, 2, false,
		},
		"takeover dropped from the log": {9, []carobclaimbatch.Batch{batch("a", 3, 5, k1)}, 1, false},
		"two takeovers dropped from the log, the older home late": {
			9, []carobclaimbatch.Batch{batch("a", 3, 5, k1), batch("b", 6, 2, k2), settle(k1, carobkind.Busy), batch("b", 6, 3, k3)}, 2, false,
		},
		"new home, then a batch of a takeover dropped from the log": {
			9, []carobclaimbatch.Batch{takeover("b"), batch("a", 3, 5, k1), batch("b", 9, 2, k2)}, 2, false,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			shard := carobclaimstate.NewClaimState(carobclaimstate.Config{MaxKeys: 10, MaxStoredBytes: 10})
			for i, record := range tc.records {
				shard.Fold(tc.from+caroboffset.Offset(i), record)
			}
			holding := shard.Holding(k1.Key)
			if tc.holder == 0 {
				require.Nil(t, holding)
				return
			}
			require.NotNil(t, holding)
			require.Equal(t, tc.holder, holding.Call.Sequence)
			require.Equal(t, tc.ended, holding.Settled)
		})
	}
}

// Guards against granting a key twice when a claim exceeded the limit of held
// keys: its key is not in the table, so it would count as free. No new key may be
// claimed until the log has dropped that claim.
func TestFullTableRejectsKeysUntilTheLogDropsTheExcessClaim(t *testing.T) {
	shard := carobclaimstate.NewClaimState(carobclaimstate.Config{MaxKeys: 2, MaxStoredBytes: 10})
	shard.Fold(0, takeover("a"))
	shard.Fold(1, batch("a", 0, 2, claim("k", 1)))
	require.True(t, shard.HasRoom())
	shard.Fold(2, batch("a", 0, 3, claim("l", 2), claim("m", 3)))
	require.False(t, shard.HasRoom())
	shard.Fold(3, settle(claim("k", 1), carobkind.Busy))
	require.False(t, shard.HasRoom(), "the claim of m is still in the log")
	shard.DropBefore(2)
	require.False(t, shard.HasRoom())
	shard.DropBefore(3)
	require.True(t, shard.HasRoom())
	require.Nil(t, shard.Holding(claim("l", 2).Key), "the log has dropped its claim")
}

// Guards against unbounded memory for stored answers, and against releasing a key
// when its answer is evicted.
func TestOldestStoredAnswersAreEvictedAndKeysStayHeld(t *testing.T) {
	shard := carobclaimstate.NewClaimState(carobclaimstate.Config{MaxKeys: 10, MaxStoredBytes: 10})
	shard.Fold(0, takeover("a"))
	for i, key := range []string{"k", "l", "m"} {
		newClaim := claim(key, uint64(i))
		shard.Fold(1, batch("a", 0, uint64(i+2), newClaim))
		settlementBatch := settle(newClaim, carobkind.None)
		settlementBatch.Settlements[0].StoredAnswer = &carobstoredanswer.StoredAnswer{Body: []byte("12345")}
		shard.Fold(2, settlementBatch)
	}
	require.Nil(t, shard.Holding(claim("k", 0).Key).StoredAnswer)
	require.True(t, shard.Holding(claim("k", 0).Key).Settled, "the key stays held")
	require.NotNil(t, shard.Holding(claim("l", 1).Key).StoredAnswer)
	require.NotNil(t, shard.Holding(claim("m", 2).Key).StoredAnswer)
}

// Guards against keys that stay held although the log no longer keeps their claims, since an
// older key was released and claimed again.
func TestReclaimedKeyDoesNotKeepOlderKeys(t *testing.T) {
	state := carobclaimstate.NewClaimState(carobclaimstate.Config{MaxKeys: 10, MaxStoredBytes: 10})
	first, other, again := claim("a", 1), claim("b", 2), claim("a", 3)
	for offset, record := range []carobclaimbatch.Batch{
		takeover("n"), batch("n", 0, 2, first), settle(first, carobkind.Busy), batch("n", 0, 3, other), batch("n", 0, 4, again),
	} {
		state.Fold(caroboffset.Offset(offset), record)
	}
	state.DropBefore(4)
	require.Nil(t, state.Holding(other.Key))
	require.NotNil(t, state.Holding(again.Key))
	state.DropBefore(5)
	require.Nil(t, state.Holding(again.Key))
}
