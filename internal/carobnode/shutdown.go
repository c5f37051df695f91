package carobnode

import (
	"context"
	"net"

	"github.com/samber/do/v2"

	"github.com/carobknot/carobknot/internal/carobadminserver"
	"github.com/carobknot/carobknot/internal/caroblogwriter"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobinbox"
)

// shutDown shuts the node down gracefully:
//
//   - For Settings.MinDrainTime, the node still accepts calls and attempts, since callers and
//     other nodes may not have noticed that it is shutting down.
//   - Then callers can open no more connections; calls that have been received are
//     still answered. The node announces to the other nodes that it leaves and refuses
//     their attempts, until none has sent an attempt for a while. If an attempt met a
//     closed connection instead of a refusal, its entry node could not determine
//     whether it ran.
//   - Calls that are still in flight after Settings.ShutdownTimeout get a final response.
//   - Finally the servers are closed, within closeTimeout.
func (n *Node) shutDown(ctx context.Context) {
	logger := n.config.Logger.WithField("node", n.config.Settings.Name)
	logger.Info("node: shutting down")
	n.shuttingDown.Store(true)
	mailbox := do.MustInvoke[*carobmailbox.Mailbox](n.injector)
	shutdownCtx, cancelShutdown := context.WithTimeout(ctx, n.config.Settings.ShutdownTimeout.Duration())
	defer cancelShutdown()
	calls := do.MustInvoke[callServer](n.injector)
	deadline := do.MustInvoke[*carobtimer.Timer](n.injector).Now().Add(n.config.Settings.ShutdownTimeout.Duration())
	mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.ShutdownDeadline = deadline })
	calls.Drain()
	_ = do.MustInvoke[*carobtimer.Timer](n.injector).Wait(shutdownCtx, n.config.Settings.MinDrainTime.Duration())
	mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Stop = true })
	_ = calls.Shutdown(shutdownCtx)
	select {
	case <-n.stopped:
	case <-shutdownCtx.Done():
	}
	const divisor = 10
	closeCtx, cancelClose := context.WithTimeout(ctx, min(closeTimeout, n.config.Settings.ShutdownTimeout.Duration()/divisor))
	defer cancelClose()
	if shutdownCtx.Err() != nil {
		logger.Warn("node: calls still in flight get their last answer")
		mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Exit = true })
		_ = calls.Shutdown(closeCtx)
	}
	_ = do.MustInvoke[*carobtimer.Timer](n.injector).Wait(shutdownCtx, finalSendDelay)
	if n.config.Store == nil {
		do.MustInvoke[*caroblogwriter.LogWriter](n.injector).Flush(closeCtx)
	}
	_ = do.MustInvoke[*attemptServer](n.injector).ShutdownWithContext(closeCtx)
	_ = do.MustInvoke[*carobtransport.Transport](n.injector).Shutdown(closeCtx)
	_ = do.MustInvoke[*carobadminserver.AdminServer](n.injector).Shutdown(closeCtx)
	logger.Info("node: stopped")
}

// closeListeners closes the listeners that have been opened.
func (n *Node) closeListeners() {
	for _, listener := range []net.Listener{n.callListener, n.peerListener, n.adminListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
