package carobquotaperiods_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
)

// Guards against an allocator that gets more requests the more nodes there are, and against
// tokens that lapse between two renewals.
func TestRenewalsOfAllNodesAreBounded(t *testing.T) {
	const maxRenewalsPerSecond = 350
	for _, nodes := range []int{0, 1, 12, 64, 100, 300, 660} {
		periods := carobquotaperiods.Of(nodes)
		require.LessOrEqual(t, float64(nodes)/periods.Renewal.Seconds(), float64(maxRenewalsPerSecond))
		require.GreaterOrEqual(t, periods.Lease, 3*periods.Renewal, "a node may miss two renewals")
		require.GreaterOrEqual(t, periods.TokenLifetime, periods.Lease)
	}
}

// Guards against a small fleet that serves no calls of limited organisations for seconds after all
// its nodes have restarted.
func TestLeasesOfASmallFleetAreShort(t *testing.T) {
	require.Equal(t, time.Second, carobquotaperiods.Of(64).Lease)
}
