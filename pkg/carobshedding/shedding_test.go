package carobshedding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobconnection"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobshedding"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// now is the instant of the decisions under test, and ago an instant before it.
const now = carobinstant.Instant(time.Hour)

func ago(d time.Duration) carobinstant.Instant { return now.Add(-d) }

func newShedding() *carobshedding.Shedding {
	return carobshedding.NewShedding(carobshedding.Config{StallTimeout: time.Second, UnreadTimeout: 5 * time.Second, WaitTimeout: 2 * time.Second, ProgressSize: 100})
}

// Guards against shedding in another order than stalled requests, then idle connections, and against closing a call under way or a client that makes progress.
func TestClosed(t *testing.T) {
	rows := []carobconnection.Connection{
		{ID: 1, Held: 10, BeganAt: ago(time.Minute)},
		{ID: 2, Held: 10, BeganAt: ago(2 * time.Minute)},
		{ID: 13, Held: 10, BeganAt: ago(time.Second - 1)},
		{ID: 3, Held: 10, Receiving: true, ProgressAt: ago(2 * time.Second)},
		{ID: 4, Held: 10, Receiving: true, ProgressAt: ago(3 * time.Second)},
		{ID: 5, Held: 10, Receiving: true, ProgressAt: ago(999 * time.Millisecond)},
		{ID: 6, Held: 10, Pending: 1, BeganAt: ago(time.Hour)},
		{ID: 7, Held: 10, Pending: 1, Receiving: true, ProgressAt: ago(time.Minute)},
		{ID: 9, Held: 10, Unsent: 1, BlockedSince: ago(4 * time.Second)},
		{ID: 10, Held: 10, Unsent: 1, BeganAt: ago(time.Hour)},
		{ID: 11, Held: 10, Unsent: 1, BlockedSince: ago(5 * time.Second)},
		{ID: 12, Held: 10, Unsent: 1, Pending: 1, BlockedSince: ago(time.Hour)},
		{ID: 8, Held: 10, Receiving: true, ProgressAt: ago(time.Minute), WaitingSince: ago(time.Minute)},
	}
	for _, c := range []struct {
		name   string
		needed carobsize.Size
		closed []carobconnectionid.ID
	}{
		{"the longest without progress", 10, []carobconnectionid.ID{11}},
		{"all without progress", 30, []carobconnectionid.ID{11, 4, 3}},
		{"then the longest idle", 31, []carobconnectionid.ID{11, 4, 3, 2}},
		{"never calls, progress, or those that wait", 1000, []carobconnectionid.ID{11, 4, 3, 2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.closed, newShedding().Closed(now, rows, c.needed))
		})
	}
	require.Empty(t, newShedding().Closed(now, rows[5:10], 10))
}

// Guards against closing idle connections before it can be known whose clients stall.
func TestIdleConnectionsYieldAfterAWait(t *testing.T) {
	rows := []carobconnection.Connection{{ID: 1, Held: 10, BeganAt: ago(time.Minute)}, {ID: 2, Receiving: true, WaitingSince: ago(time.Second - 1)}}
	require.Empty(t, newShedding().Closed(now, rows, 10))
	rows[1].WaitingSince = ago(time.Second)
	require.Equal(t, []carobconnectionid.ID{1}, newShedding().Closed(now, rows, 10))
}

// Guards against refusing all that wait although one that yields would let the others go on.
func TestRefused(t *testing.T) {
	rows := []carobconnection.Connection{
		{ID: 1, Held: 10, Needed: 25, Receiving: true, BeganAt: ago(time.Minute), WaitingSince: ago(3 * time.Second)},
		{ID: 2, Held: 20, Needed: 99, Receiving: true, BeganAt: ago(time.Second), WaitingSince: ago(2 * time.Second)},
		{ID: 3, Held: 20, Needed: 99, Receiving: true, BeganAt: ago(2 * time.Second), WaitingSince: ago(2 * time.Second)},
		{ID: 4, Held: 20, Needed: 99, Receiving: true, BeganAt: ago(3 * time.Second), WaitingSince: ago(2 * time.Second)},
		{ID: 5, Held: 20, Needed: 99, Receiving: true, BeganAt: ago(0), WaitingSince: ago(time.Second)},
		{ID: 6, Held: 20, Receiving: true, BeganAt: ago(0), ProgressAt: ago(time.Minute)},
	}
	require.Equal(t, []carobconnectionid.ID{2, 3}, newShedding().Refused(now, rows))
	require.Equal(t, []carobconnectionid.ID{1}, newShedding().Refused(now, rows[:1]), "the last one is refused as well")
	require.Empty(t, newShedding().Refused(now, rows[4:]))
}

// Guards against clients that hold memory by sending single bytes.
func TestReceiveCountsProgress(t *testing.T) {
	row := carobconnection.Connection{ProgressAt: ago(time.Minute)}
	newShedding().Receive(now, &row, 99)
	require.Equal(t, ago(time.Minute), row.ProgressAt)
	newShedding().Receive(now, &row, 1)
	require.Equal(t, now, row.ProgressAt)
	require.Zero(t, row.Received)
}
