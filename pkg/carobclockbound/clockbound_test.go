package carobclockbound_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobclockbound"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

const base = carobinstant.Instant(time.Hour)

// Guards against an instant that another node takes for a later one than it was, because messages were slow or clocks drift.
func TestConvertedInstantIsNeverTooLate(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		// The clock of the other node has an offset and runs at another speed, within the limit.
		offset, drift := time.Duration(random.Int64N(int64(10*time.Minute))), (random.Float64()*2-1)/1000
		otherClock := func(at carobinstant.Instant) carobinstant.Instant {
			return at.Add(offset + time.Duration(drift*float64(at.Sub(base))))
		}
		var bound carobclockbound.ClockBound
		require.Equal(t, carobinstant.Never, bound.Convert(base))
		now := base
		for range 50 {
			now = now.Add(time.Duration(random.Int64N(int64(2 * time.Second))))
			transit := time.Duration(random.Int64N(int64(time.Second)))
			bound.Update(1, otherClock(now), now.Add(transit))
			at := now.Add(time.Duration(random.Int64N(int64(20*time.Second))) - 10*time.Second)
			require.LessOrEqual(t, bound.Convert(at), otherClock(at), "seed %d", seed)
		}
	}
}

// Guards against bounds so low that each node has to read the store itself, since one message was slow or is long past.
func TestBoundIsThatOfTheFastestMessage(t *testing.T) {
	var bound carobclockbound.ClockBound
	now := base
	for _, transit := range []time.Duration{time.Second, 2 * time.Millisecond, time.Second, time.Second} {
		bound.Update(1, now, now.Add(transit))
		now = now.Add(time.Second)
	}
	require.InDelta(t, 2*time.Millisecond, now.Sub(bound.Convert(now)), float64(3*time.Millisecond))
	bound.Update(1, now.Add(10*time.Minute), now.Add(10*time.Minute+50*time.Millisecond))
	require.InDelta(t, 50*time.Millisecond, now.Sub(bound.Convert(now))-600*time.Millisecond, float64(time.Millisecond))
}

// Guards against a node that restarted and is sent readings of the clock that it had before.
func TestBoundOfAnotherIncarnationIsReplaced(t *testing.T) {
	var bound carobclockbound.ClockBound
	bound.Update(1, base.Add(time.Hour), base)
	bound.Update(2, base, base)
	require.EqualValues(t, 2, bound.Incarnation)
	require.Equal(t, base, bound.Convert(base))
}
