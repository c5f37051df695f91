package carobhedging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// begin puts one call with one attempt in a world whose service answers in 10 ms.
func begin(t *testing.T, change func(cl *carobcall.Call)) (*System, *carobworld.World, *carobcall.Call) {
	t.Helper()
	w := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	pf := carobprofile.NewProfile("lookups")
	pf.Once = carobonce.No
	pc := paceOf(w, "lookups")
	for range 1000 {
		pc.Latency.Add(10 * time.Millisecond)
	}
	id := carobcallid.ID{Node: "n", Sequence: 1}
	cl := w.Calls.Put(id, carobcall.Call{
		Arrival: carobarrival.Arrival{Call: id, Service: "lookups"}, Profile: pf, Stage: carobstage.Placed,
		Attempts: []carobattempt.Attempt{{Sent: 1}},
	})
	change(cl)
	s := NewSystem()
	w.Outbox.Sends = []carobsend.Send{{Job: carobjobid.ID{Call: id, Attempt: 1}}}
	s.Run(w, 1)
	return s, w, cl
}

func TestSlowCallsGetOneSecondAttempt(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(cl *carobcall.Call)
		want   bool
	}{
		{"idempotent", func(*carobcall.Call) {}, true},
		{"at most once", func(cl *carobcall.Call) { cl.Profile.Once = carobonce.Call }, false},
		{"keyed", func(cl *carobcall.Call) { cl.Profile.Once = carobonce.Key }, false},
		{"body not kept", func(cl *carobcall.Call) { cl.Arrival.Streamed = true }, false},
		{"one try", func(cl *carobcall.Call) { cl.Profile.Tries = 1 }, false},
		{"no hedging", func(cl *carobcall.Call) { cl.Profile.Hedge = 0 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, w, cl := begin(t, tc.change)
			w.Begin(carobinbox.Inbox{})
			s.Run(w, carobinstant.Instant(5*time.Millisecond))
			require.False(t, cl.Extra)
			s.Run(w, carobinstant.Instant(20*time.Millisecond))
			require.Equal(t, tc.want, cl.Extra)
		})
	}
}

func TestHedgesAreCapped(t *testing.T) {
	s, w, cl := begin(t, func(*carobcall.Call) {})
	w.Begin(carobinbox.Inbox{})
	w.BudgetOf("lookups").Tokens = 0.99
	s.Run(w, carobinstant.Instant(20*time.Millisecond))
	require.False(t, cl.Extra)
	// The call is not forgotten.
	w.BudgetOf("lookups").Tokens = 1
	s.Run(w, carobinstant.Instant(30*time.Millisecond))
	require.True(t, cl.Extra)
}

func TestAnsweredCallsAreNotHedged(t *testing.T) {
	s, w, cl := begin(t, func(*carobcall.Call) {})
	w.Begin(carobinbox.Inbox{})
	cl.Stage = carobstage.Delivering
	s.Run(w, carobinstant.Instant(20*time.Millisecond))
	require.False(t, cl.Extra)
}
