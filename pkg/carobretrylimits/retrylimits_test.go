package carobretrylimits_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobretrylimits"
)

// Guards against nodes that use all of a bound, which they exceed while some do not know each other.
func TestLimitsStayWithinABound(t *testing.T) {
	limits := carobretrylimits.NewRetryLimits().Within(0.2, 56)
	require.InDelta(t, 0.1, float64(limits.TokensPerCall), 1e-9)
	require.InDelta(t, 28, limits.ClusterTokens, 1e-9)
	require.InDelta(t, carobretrylimits.NewRetryLimits().NodeTokens, limits.NodeTokens, 0)
	require.LessOrEqual(t, float64(limits.Within(50, 1).TokensPerCall), 1.0)
}
