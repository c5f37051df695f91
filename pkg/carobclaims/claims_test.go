package carobclaims_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaims"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

func claim(key string, sequence uint64) carobclaim.Claim {
	return carobclaim.Claim{
		Key: carobkey.Key{Service: "payouts", Text: key}, Call: carobcallid.ID{Node: "e", Sequence: sequence},
	}
}

func take(node string) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Node: carobnodeid.ID(node), Number: 1, Take: true, Epoch: caroboffset.None}
}

func batch(node string, epoch caroboffset.Offset, number uint64, claims ...carobclaim.Claim) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Node: carobnodeid.ID(node), Number: number, Epoch: epoch, Claims: claims}
}

func settle(cm carobclaim.Claim, kind carobkind.Kind) carobclaimbatch.Batch {
	return carobclaimbatch.Batch{Settlements: []carobsettlement.Settlement{{Claim: cm, Kind: kind}}}
}

func TestFold(t *testing.T) {
	k1, k2, k3 := claim("k", 1), claim("k", 2), claim("k", 3)
	cases := map[string]struct {
		// from is the offset of the first record.
		from    caroboffset.Offset
		records []carobclaimbatch.Batch
		// holder is the sequence of the call that holds the key; 0 if none does.
		holder uint64
		ended  bool
	}{
		"nothing":       {},
		"first wins":    {0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), batch("a", 0, 3, k2)}, 1, false},
		"no takeover":   {0, []carobclaimbatch.Batch{batch("a", -1, 2)}, 0, false},
		"old epoch":     {0, []carobclaimbatch.Batch{take("a"), take("b"), batch("a", 0, 2, k1)}, 0, false},
		"before, after": {0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), take("b"), batch("b", 2, 2, k2)}, 1, false},
		"took it back":  {0, []carobclaimbatch.Batch{take("a"), take("b"), take("a"), batch("a", 0, 2, k1), batch("a", 2, 3, k2)}, 2, false},
		"ended":         {0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k1, carobkind.None)}, 1, true},
		"end unknown":   {0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Cut)}, 1, true},
		"released":      {0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Busy)}, 0, false},
		"end of another call": {
			0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k2, carobkind.Busy)}, 1, false,
		},
		"release after the end": {
			0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Cut), settle(k1, carobkind.Busy)}, 1, true,
		},
		"copy after the release": {
			0, []carobclaimbatch.Batch{take("a"), batch("a", 0, 2, k1), settle(k1, carobkind.Busy), batch("a", 0, 2, k1)}, 0, false,
		},
		"copy of a takeover": {
			0, []carobclaimbatch.Batch{take("a"), take("a"), batch("a", 0, 2, k1), batch("a", 1, 3, k2)}, 2, false,
		},
		"takeover forgotten": {9, []carobclaimbatch.Batch{batch("a", 3, 5, k1)}, 1, false},
		"two takeovers forgotten, the older home late": {
			9, []carobclaimbatch.Batch{batch("a", 3, 5, k1), batch("b", 6, 2, k2), settle(k1, carobkind.Busy), batch("b", 6, 3, k3)}, 2, false,
		},
		"new home with a forgotten takeover behind it": {
			9, []carobclaimbatch.Batch{take("b"), batch("a", 3, 5, k1), batch("b", 9, 2, k2)}, 2, false,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			cs := carobclaims.NewClaims(carobclaims.Config{Keys: 10, Kept: 10})
			for i, bt := range c.records {
				cs.Fold(c.from+caroboffset.Offset(i), bt)
			}
			hd := cs.Holding(k1.Key)
			if c.holder == 0 {
				require.Nil(t, hd)
				return
			}
			require.NotNil(t, hd)
			require.Equal(t, c.holder, hd.Call.Sequence)
			require.Equal(t, c.ended, hd.Ended)
		})
	}
}

// A claim that found no room bars all new keys until the log has dropped it, so
// that its key is never taken for a free one.
func TestNoRoom(t *testing.T) {
	cs := carobclaims.NewClaims(carobclaims.Config{Keys: 2, Kept: 10})
	cs.Fold(0, take("a"))
	cs.Fold(1, batch("a", 0, 2, claim("k", 1)))
	require.True(t, cs.Room())
	cs.Fold(2, batch("a", 0, 3, claim("l", 2), claim("m", 3)))
	require.False(t, cs.Room())
	cs.Fold(3, settle(claim("k", 1), carobkind.Busy))
	require.False(t, cs.Room(), "the claim of m is still in the log")
	cs.Forget(2)
	require.False(t, cs.Room())
	cs.Forget(3)
	require.True(t, cs.Room())
	require.Nil(t, cs.Holding(claim("l", 2).Key), "the log has dropped it")
}

func TestKeptAnswersAreBounded(t *testing.T) {
	cs := carobclaims.NewClaims(carobclaims.Config{Keys: 10, Kept: 10})
	cs.Fold(0, take("a"))
	for i, key := range []string{"k", "l", "m"} {
		cm := claim(key, uint64(i))
		cs.Fold(1, batch("a", 0, uint64(i+2), cm))
		bt := settle(cm, carobkind.None)
		bt.Settlements[0].Kept = &carobkept.Kept{Body: []byte("12345")}
		cs.Fold(2, bt)
	}
	require.Nil(t, cs.Holding(claim("k", 0).Key).Kept)
	require.True(t, cs.Holding(claim("k", 0).Key).Ended, "the key stays held")
	require.NotNil(t, cs.Holding(claim("l", 1).Key).Kept)
	require.NotNil(t, cs.Holding(claim("m", 2).Key).Kept)
}
