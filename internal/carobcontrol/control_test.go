package carobcontrol_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// delayRecorder is an executor that keeps the longest delay of a tick.
type delayRecorder struct {
	longest time.Duration
}

func (d *delayRecorder) Execute(out *caroboutbox.Outbox) {
	d.longest = max(d.longest, out.TickDelay)
}

// Guards against a control goroutine whose ticks are late without a trace.
func TestDelayOfTicksIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 3 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		timer, recorder := carobtimer.NewTimer(), &delayRecorder{}
		go timer.Run(ctx)
		control := carobcontrol.NewControl(carobcontrol.Config{
			Core: carobcore.NewCore(carobcore.Config{}), Mailbox: carobmailbox.NewMailbox(), Timer: timer,
		})
		control.AddExecutor(recorder)
		go control.Run(ctx)
		require.NoError(t, timer.Wait(ctx, pause))
		var before, after time.Duration
		require.NoError(t, control.Query(ctx, func(*carobworld.World) {
			before = recorder.longest
			_ = timer.Wait(ctx, pause)
		}))
		require.NoError(t, control.Query(ctx, func(*carobworld.World) { after = recorder.longest }))
		require.Less(t, before, time.Millisecond)
		require.Greater(t, after, pause/2)
	})
}
