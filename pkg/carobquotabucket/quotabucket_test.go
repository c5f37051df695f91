package carobquotabucket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobquotabucket"
)

// Guards against more tokens in existence than the capacity, and against more tokens granted than
// the first filling and the rate over the credit allow, whatever the steps.
func TestTokensInExistenceStayBelowCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bucket := carobquotabucket.QuotaBucket{Rate: 20, MaxTokens: rapid.Float64Range(0, 100).Draw(t, "max")}
		credit, granted := 0.0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			credit += rapid.Float64Range(0, 2).Draw(t, "credit")
			bucket.Settle(credit, 1)
			spent := rapid.IntRange(0, bucket.Outstanding).Draw(t, "spent")
			bucket.Outstanding -= spent
			bucket.Settle(credit, 1)
			granted += bucket.Grant(rapid.IntRange(0, 30).Draw(t, "waiting"), rapid.IntRange(0, 30).Draw(t, "stock"), 1)
			require.GreaterOrEqual(t, bucket.Tokens, 0.0)
			require.LessOrEqual(t, bucket.Tokens+float64(bucket.Outstanding), bucket.MaxTokens+1e-6)
			require.LessOrEqual(t, float64(granted), 20*credit+1e-6)
		}
	})
}

// Guards against tokens that stay in a bucket after part of the leases that they came from ended.
func TestBucketIsTrimmedToTheLentShare(t *testing.T) {
	bucket := carobquotabucket.QuotaBucket{Rate: 20, MaxTokens: 40}
	bucket.Settle(100, 1)
	require.InDelta(t, 40, bucket.Tokens, 1e-9)
	require.Equal(t, 15, bucket.Grant(15, 0, 1))
	bucket.Settle(100, 0.5)
	require.InDelta(t, 5, bucket.Tokens, 1e-9, "half of the capacity, without what nodes hold")
	bucket.Settle(100, 0.25)
	require.Zero(t, bucket.Tokens)
}

// Guards against stocks that take all tokens, so that a call at a node without stock is refused.
func TestStockLeavesAReserveForCallsThatWait(t *testing.T) {
	bucket := carobquotabucket.QuotaBucket{Rate: 20, MaxTokens: 40}
	bucket.Settle(100, 1)
	require.Equal(t, 30, bucket.Grant(0, 1000, 1))
	require.Zero(t, bucket.Grant(0, 1000, 1))
	require.Equal(t, 10, bucket.Grant(12, 5, 1))
}

// Guards against nodes that ask again at once, and against a time named by an allocator that has no
// leases and so does not know when there are tokens.
func TestWaitFollowsTheLentRate(t *testing.T) {
	bucket := carobquotabucket.QuotaBucket{Rate: 2, MaxTokens: 40}
	require.Equal(t, 500*time.Millisecond, bucket.Wait(1))
	require.Equal(t, time.Second, bucket.Wait(0.5))
	require.Zero(t, bucket.Wait(0))
	bucket.Rate = 500
	require.Equal(t, 100*time.Millisecond, bucket.Wait(1))
	bucket.Rate = 0.0001
	require.Equal(t, time.Minute, bucket.Wait(1))
}
