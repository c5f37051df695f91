package carobquotastock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
)

const start = carobinstant.Instant(time.Hour)

// Guards against tokens that are used after the allocator no longer counts them.
func TestTokensExpire(t *testing.T) {
	stock := carobquotastock.QuotaStock{Tokens: 5, ExpiresAt: start.Add(time.Second)}
	require.True(t, stock.Take(start))
	require.False(t, stock.Take(start.Add(time.Second)))
	stock.Return(start.Add(time.Second))
	require.Equal(t, 4, stock.Tokens, "a token does not return after the others have expired")
	stock.Return(start)
	require.Equal(t, 5, stock.Tokens)
	stock.Expire(start.Add(time.Second))
	require.Zero(t, stock.Tokens)
}

// Guards against a stock that does not follow the demand, and one that keeps tokens that are of no
// use.
func TestTargetFollowsCalls(t *testing.T) {
	var stock carobquotastock.QuotaStock
	require.Zero(t, stock.Target(start))
	now := start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		stock.RecordCall(now)
	}
	require.InDelta(t, 51, stock.Target(now), 2, "half a second of 100 calls a second, and one")
	require.Equal(t, 1, stock.Target(now.Add(3*time.Second)))
	require.Zero(t, stock.Target(now.Add(4*time.Second)))
	require.True(t, stock.Idle(now.Add(4*time.Second)))
}

// Guards against an own share that is filled for the time in which it was lent, or beyond its
// capacity.
func TestOwnShareFillsWhileItIsUsed(t *testing.T) {
	var stock carobquotastock.QuotaStock
	take := func(now, since carobinstant.Instant) bool { return stock.TakeOwn(now, since, 2, 3) }
	require.False(t, take(start, start))
	require.True(t, take(start.Add(500*time.Millisecond), start))
	count := 0
	for later := start.Add(time.Minute); take(later, start); count++ {
		require.Less(t, count, 10)
	}
	require.Equal(t, 3, count)
	again := start.Add(2 * time.Minute)
	require.False(t, take(again.Add(10*time.Second), again), "the share was lent until then")
}

// Guards against tokens of a higher limit that are used under a lower one.
func TestLowerLimitDropsTokens(t *testing.T) {
	stock := carobquotastock.QuotaStock{Rate: 20, Burst: 5, Tokens: 7, OwnTokens: 2}
	stock.Limit(30, 5)
	require.Equal(t, 7, stock.Tokens)
	stock.Limit(20, 5)
	require.Zero(t, stock.Tokens)
	require.Zero(t, stock.OwnTokens)
	stock.Tokens = 7
	stock.Limit(20, 4)
	require.Zero(t, stock.Tokens)
}
