package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobonce"
)

// A call that every target is too busy for waits at its entry and is offered
// again, until its deadline; then nothing has run.
func TestCallWaitsForRoom(t *testing.T) {
	r := newRig(t, carobonce.Call)
	r.arrive(false)
	came, attempt := r.now, 1
	for len(r.world.Outbox.Conclusions) == 0 && attempt < 1000 {
		if len(r.world.Outbox.Sends) > 0 {
			r.reply(attempt, carobkind.Busy)
			attempt++
			continue
		}
		require.NotZero(t, r.world.Wake(), "the call is forgotten")
		r.now = r.world.Wake()
		r.step(carobinbox.Inbox{})
	}
	r.concluded(carobkind.Late)
	require.LessOrEqual(t, r.now.Sub(came), patience+atMost+time.Millisecond)
	require.Greater(t, attempt, 5, "it is offered again")
	require.Less(t, attempt, 100, "the waits grow")
}
