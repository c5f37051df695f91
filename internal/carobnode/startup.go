package carobnode

import (
	"context"
	"net"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobadminserver"
	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobclaimlog"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobeventlog"
	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/caroblogwriter"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmembersync"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobroutepoller"
	"github.com/carobknot/carobknot/internal/carobsplitter"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// discoverTarget identifies and announces the target that may already run on the VM.
func (n *Node) discoverTarget(ctx context.Context) {
	if err := do.MustInvoke[*carobadmitter.Admitter](n.injector).Discover(ctx, n.config.LocalTarget); err != nil {
		n.config.Logger.WithError(err).Info("target: could not be identified before its own announcement")
	}
}

// addExecutors connects the control goroutine to the parts that carry out its effects.
func (n *Node) addExecutors(ctx context.Context) {
	control := do.MustInvoke[*carobcontrol.Control](n.injector)
	control.AddExecutor(do.MustInvoke[*carobadmitter.Admitter](n.injector))
	control.AddExecutor(do.MustInvoke[callServer](n.injector))
	control.AddExecutor(do.MustInvoke[*carobtransport.Transport](n.injector))
	control.AddExecutor(do.MustInvoke[*carobmeter.Meter](n.injector))
	control.AddExecutor(do.MustInvoke[*carobeventlog.EventLog](n.injector))
	if n.config.Store != nil {
		control.AddExecutor(do.MustInvoke[*carobmembersync.MemberSync](n.injector))
		control.AddExecutor(do.MustInvoke[*carobroutepoller.RoutePoller](n.injector))
	} else {
		n.addLogExecutors(ctx, control)
	}
	control.AddExecutor(n)
}

// addLogExecutors connects the control goroutine to the parts that write to the log.
func (n *Node) addLogExecutors(ctx context.Context, control *carobcontrol.Control) {
	control.AddExecutor(carobclaimlog.NewClaimLog(ctx, carobclaimlog.Config{
		Log:     do.MustInvoke[*caroblogclient.LogClient](n.injector),
		Mailbox: do.MustInvoke[*carobmailbox.Mailbox](n.injector),
		Timer:   do.MustInvoke[*carobtimer.Timer](n.injector),
		Logger:  logrus.NewEntry(n.config.Logger),
	}))
	control.AddExecutor(do.MustInvoke[*caroblogwriter.LogWriter](n.injector))
}

// startBackground starts the goroutines that run beside the servers.
func (n *Node) startBackground(ctx context.Context) {
	go do.MustInvoke[*carobtimer.Timer](n.injector).Run(ctx)
	go do.MustInvoke[*carobcontrol.Control](n.injector).Run(ctx)
	go do.MustInvoke[*carobsplitter.Splitter](n.injector).Run(ctx)
	go do.MustInvoke[*carobeventlog.EventLog](n.injector).Run(ctx)
	if n.config.Store != nil {
		go do.MustInvoke[*carobmembersync.MemberSync](n.injector).Run(ctx)
		go do.MustInvoke[*carobroutepoller.RoutePoller](n.injector).Run(ctx)
		return
	}
	go do.MustInvoke[*caroblogwriter.LogWriter](n.injector).Run(ctx)
	go n.readStream(ctx, carobstream.Profiles)
	go n.readStream(ctx, carobstream.Nodes)
}

// startServers starts the servers. The channel receives the error of the first server
// that fails.
func (n *Node) startServers(ctx context.Context) <-chan error {
	splitter := do.MustInvoke[*carobsplitter.Splitter](n.injector)
	failed := make(chan error, 1)
	start := func(server string, run func(net.Listener) error, listener net.Listener) {
		if err := run(listener); err != nil && ctx.Err() == nil {
			select {
			case failed <- carobkind.Wrap(carobkind.Internal, err, "serve "+server):
			default:
			}
		}
	}
	go start("calls", do.MustInvoke[callServer](n.injector).Serve, n.callListener)
	go start("attempts", do.MustInvoke[*attemptServer](n.injector).Serve, splitter.AttemptListener)
	go start("control messages", do.MustInvoke[*carobtransport.Transport](n.injector).Serve, splitter.ControlListener)
	go start("admin", do.MustInvoke[*carobadminserver.AdminServer](n.injector).Serve, n.adminListener)
	return failed
}

// readStream reads a stream of the platform's log until ctx ends.
func (n *Node) readStream(ctx context.Context, stream carobstream.Stream) {
	carobtail.NewTail(carobtail.Config{
		Stream: stream, Log: do.MustInvoke[*caroblogclient.LogClient](n.injector),
		Mailbox: do.MustInvoke[*carobmailbox.Mailbox](n.injector),
		Timer:   do.MustInvoke[*carobtimer.Timer](n.injector), Logger: logrus.NewEntry(n.config.Logger),
	}).Run(ctx)
}
