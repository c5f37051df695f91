package carobeventlog_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobeventlog"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
)

// Guards against a log that grows with the traffic: of 10 successes and 3 failures
// within a second, the limits allow 2 and 3, and the next line reports the 8 dropped.
func TestLinesAreLimitedAndDroppedOnesAreCounted(t *testing.T) {
	logger, logged := test.NewNullLogger()
	eventLog := carobeventlog.NewEventLog(carobeventlog.Config{
		Logger: logger, Timer: carobtimer.NewTimer(), MaxSuccessLines: 2, MaxFailureLines: 5,
	})
	out := &caroboutbox.Outbox{}
	for range 10 {
		out.Decisions = append(out.Decisions, carobdecision.Decision{Component: "route", Text: "attempt sent", Request: "r1"})
	}
	for range 3 {
		out.Decisions = append(out.Decisions, carobdecision.Decision{
			Component: "entry", Text: "call ended", Request: "r2", Organisation: "clinic", Kind: carobkind.Busy,
			Inputs: []carobinput.Input{{Name: "agems", Value: 12.5}},
		})
	}
	// Run has not started yet; Execute must not block on it.
	eventLog.Execute(out)
	require.EqualValues(t, 8, eventLog.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go eventLog.Run(ctx)
	require.Eventually(t, func() bool { return len(logged.AllEntries()) == 5 }, 10*time.Second, time.Millisecond)
	first, last := logged.AllEntries()[0], logged.AllEntries()[4]
	require.Equal(t, "route: attempt sent", first.Message)
	require.EqualValues(t, 8, first.Data["dropped"])
	require.Equal(t, "done", first.Data["outcome"])
	require.Equal(t, "entry: call ended", last.Message)
	require.Equal(t, "busy", last.Data["outcome"])
	require.Equal(t, "r2", last.Data["id"])
	require.Equal(t, "clinic", last.Data["organisation"])
	require.NotContains(t, first.Data, "organisation")
	require.InDelta(t, 12.5, last.Data["agems"], 0.001)
	require.Zero(t, eventLog.Dropped())
}

// Guards against changes of state that on call cannot explain, since the line lacks the values that led to them.
func TestChangesAreLoggedWithTheirInputs(t *testing.T) {
	logger, logged := test.NewNullLogger()
	eventLog := carobeventlog.NewEventLog(carobeventlog.Config{
		Logger: logger, Timer: carobtimer.NewTimer(), MaxFailureLines: 5, LogAudits: true,
	})
	eventLog.Execute(&caroboutbox.Outbox{Audits: []carobaudit.Audit{{
		Component: "routes", Who: "store", What: "route table", From: "1", To: "2", Inputs: []carobinput.Input{{Name: "confirmedms", Value: 12.5}},
	}}})
	go eventLog.Run(t.Context())
	require.Eventually(t, func() bool { return len(logged.AllEntries()) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "routes: changed", logged.LastEntry().Message)
	require.InDelta(t, 12.5, logged.LastEntry().Data["confirmedms"], 0.001)
}

// Guards against late ticks whose lines are left out since many calls are logged.
func TestLateTicksAreLoggedBesideManyLines(t *testing.T) {
	logger, logged := test.NewNullLogger()
	eventLog := carobeventlog.NewEventLog(carobeventlog.Config{Logger: logger, Timer: carobtimer.NewTimer(), MaxFailureLines: 5})
	eventLog.Execute(&caroboutbox.Outbox{TickDelay: 40 * time.Millisecond})
	eventLog.Execute(&caroboutbox.Outbox{TickDelay: 400 * time.Millisecond})
	go eventLog.Run(t.Context())
	require.Eventually(t, func() bool { return len(logged.AllEntries()) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "control: tick was late", logged.LastEntry().Message)
	require.InDelta(t, 400, logged.LastEntry().Data["delayms"], 0.001)
}
