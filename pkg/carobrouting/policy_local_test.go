package carobrouting

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Guards against bytes sent between data centres while the caller's own data
// centre has room, and against calls held there when its targets are full or
// slow.
func TestLocalPolicyLeavesDataCentreOnlyIfFullOrSlow(t *testing.T) {
	newCandidate := func(inCentre bool, inFlight float64, latency time.Duration, size carobsize.Size) candidate {
		return candidate{sameCentre: inCentre, inFlight: inFlight, slots: 12, latency: latency, distance: distance(inCentre, size)}
	}
	const usual = 100 * time.Millisecond
	for _, c := range []struct {
		name                string
		inCentre, elsewhere candidate
		leaves              bool
	}{
		{"both targets idle", newCandidate(true, 0, usual, 0), newCandidate(false, 0, usual, 0), false},
		{"same-centre target busy", newCandidate(true, 11, usual, 0), newCandidate(false, 0, usual, 0), false},
		{"same-centre target full", newCandidate(true, 16, usual, 0), newCandidate(false, 0, usual, 0), true},
		{"both targets full", newCandidate(true, 16, usual, 0), newCandidate(false, 16, usual, 0), false},
		{"same-centre target slow and busy", newCandidate(true, 6, 5*usual, 0), newCandidate(false, 3, usual, 0), true},
		{"same-centre target full, long body", newCandidate(true, 16, usual, 0), newCandidate(false, 0, usual, 64*carobsize.KiB), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			chosen := local{}.pick(rand.New(rand.NewPCG(1, 1)), []candidate{c.inCentre, c.elsewhere}) //nolint:gosec // a fixed seed for a repeatable test
			require.Equal(t, c.leaves, chosen == 1)
		})
	}
}
