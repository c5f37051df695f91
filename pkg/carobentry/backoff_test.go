package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against a call being refused, or retried in a tight loop, while all targets
// are busy: it has to back off with growing waits and conclude as NotStartedInTime.
func TestBusyCallBacksOffUntilDeadline(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.arrive(false)
	arrivedAt, attempt := r.now, 1
	for len(r.world.Outbox.Conclusions) == 0 && attempt < 1000 {
		if len(r.world.Outbox.Sends) > 0 {
			r.reply(attempt, carobkind.Busy)
			attempt++
			continue
		}
		require.NotZero(t, r.world.Wake(), "no tick is due for the waiting call")
		r.now = r.world.Wake()
		r.step(carobinbox.Inbox{})
	}
	r.requireConcluded(carobkind.NotStartedInTime)
	require.LessOrEqual(t, r.now.Sub(arrivedAt), callTimeout+maxOverrun+time.Millisecond)
	require.Greater(t, attempt, 5, "the call is retried")
	require.Less(t, attempt, 100, "the backoff grows")
}
