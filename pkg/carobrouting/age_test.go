package carobrouting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAge(t *testing.T) {
	const ms = time.Millisecond
	made := func(age time.Duration) []candidate {
		cds := made([]float64{12, 2, 4}, []time.Duration{200 * ms, 20 * ms, 20 * ms})
		for i := range cds {
			cds[i].age = age
			cds[i].load.Open = i
		}
		return cds
	}
	fresh := made(0)
	age(fresh)
	require.InDelta(t, 12, fresh[0].flight, 0.01)
	require.InDelta(t, 2, fresh[1].flight, 0.01)
	require.Equal(t, 200*ms, fresh[0].latency)

	old := made(time.Minute)
	age(old)
	// The mean of the reports is 6; the own attempts are spread 0, 1, 2.
	require.InDelta(t, 5, old[0].flight, 0.01)
	require.InDelta(t, 6, old[1].flight, 0.01)
	require.InDelta(t, 7, old[2].flight, 0.01)
	// A bad name ends.
	require.Less(t, old[0].latency, 21*ms)
}
