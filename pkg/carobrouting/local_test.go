package carobrouting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobsize"
)

func TestLocalLeavesItsDataCentreOnlyForRoom(t *testing.T) {
	place := func(near bool, flight float64, latency time.Duration, size carobsize.Size) candidate {
		return candidate{near: near, flight: flight, slots: 12, latency: latency, distance: distance(near, size)}
	}
	const usual = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		near, far candidate
		leaves    bool
	}{
		{"both idle", place(true, 0, usual, 0), place(false, 0, usual, 0), false},
		{"near one busy", place(true, 11, usual, 0), place(false, 0, usual, 0), false},
		{"near one full", place(true, 16, usual, 0), place(false, 0, usual, 0), true},
		{"both full", place(true, 16, usual, 0), place(false, 16, usual, 0), false},
		{"near one slow and busy", place(true, 6, 5*usual, 0), place(false, 3, usual, 0), true},
		{"near one full, long body", place(true, 16, usual, 0), place(false, 0, usual, 64*carobsize.KiB), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			chosen := local{}.pick(rand.New(rand.NewPCG(1, 1)), []candidate{c.near, c.far}) //nolint:gosec // a test's own choice
			require.Equal(t, c.leaves, chosen == 1)
		})
	}
}
