package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against log lines of a call that name a route table which came into force after the call was routed.
func TestLinesOfACallNameTheTableThatRoutedIt(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.now = carobinstant.Instant(time.Hour)
	r.world.RouteTable = keyedTable(t, 1, clinic("key"))
	r.world.RoutesConfirmedAt, r.world.RoutesReadAt = r.now.Add(1-500*time.Millisecond), r.now.Add(1-2*time.Second)
	r.arriveWith("/one/x", credential("key"))
	r.world.RouteTable = keyedTable(t, 2, clinic("key"))
	r.world.RoutesConfirmedAt = r.now
	r.reply(1, carobkind.None)
	require.Len(t, r.world.Outbox.Decisions, 1)
	inputs := r.world.Outbox.Decisions[0].Inputs
	for _, want := range []carobinput.Input{{Name: "routes", Value: 1}, {Name: "confirmedms", Value: 500}, {Name: "readms", Value: 2000}} {
		require.Contains(t, inputs, want)
	}
}
