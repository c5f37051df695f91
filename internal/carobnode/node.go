// Package carobnode puts the parts of a node together and runs them.
package carobnode

import (
	"context"
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobadmin"
	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobclaimlog"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobcourier"
	"github.com/carobknot/carobknot/internal/carobentrance"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobscribe"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/internal/carobsplitter"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config is how a node is made.
type Config struct {
	Settings carobsettings.Settings
	Logger   *logrus.Logger
}

// Node is one node: its listeners and its parts.
type Node struct {
	config   Config
	call     net.Listener
	peer     net.Listener
	admin    net.Listener
	injector do.Injector
	// stopped is closed when a graceful shutdown is complete.
	stopped chan struct{}
}

const (
	logPatience  = 2 * time.Second
	sortPatience = 5 * time.Second
	// drainPatience is how long a shutdown waits for what is in flight.
	drainPatience = 60 * time.Second
	// goodbye is how long the last messages to other nodes have to leave.
	goodbye       = 200 * time.Millisecond
	closePatience = 2 * time.Second

	// dialPatience is how long opening a connection may take.
	dialPatience = time.Second
	// targetIdle and peerIdle are how long a connection is kept unused. Targets
	// close theirs sooner than nodes do.
	targetIdle = 5 * time.Second
	peerIdle   = 30 * time.Second
	// idleConns is the most unused connections to one address.
	idleConns = 256
)

// NewNode opens a node's listeners and makes its parts.
func NewNode(cx context.Context, c Config) (*Node, error) {
	n := &Node{config: c, stopped: make(chan struct{})}
	var listen net.ListenConfig
	for _, l := range []struct {
		address carobaddress.Address
		into    *net.Listener
	}{{c.Settings.Call, &n.call}, {c.Settings.Peer, &n.peer}, {c.Settings.Admin, &n.admin}} {
		ls, err := listen.Listen(cx, "tcp", string(l.address))
		if err != nil {
			n.closeListeners()
			return nil, carobkind.Wrap(carobkind.Invalid, err, "listen")
		}
		*l.into = ls
	}
	n.injector = n.wire()
	return n, nil
}

// Call returns where callers reach the node.
func (n *Node) Call() carobaddress.Address { return carobaddress.Address(n.call.Addr().String()) }

// Peer returns where other nodes reach the node.
func (n *Node) Peer() carobaddress.Address { return carobaddress.Address(n.peer.Addr().String()) }

// Admin returns where the VM's own targets reach the node.
func (n *Node) Admin() carobaddress.Address { return carobaddress.Address(n.admin.Addr().String()) }

// Run runs the node until cx ends, and then shuts down gracefully.
func (n *Node) Run(cx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	defer cancel()
	n.attach(inner)
	n.start(inner)
	failed := n.serve(inner)
	n.config.Logger.WithFields(logrus.Fields{
		"node": n.config.Settings.Name, "call": n.Call(), "peer": n.Peer(), "admin": n.Admin(),
	}).Info("node: started")
	select {
	case err := <-failed:
		return err
	case <-cx.Done():
	}
	n.shutDown(inner)
	return nil
}

// attach connects the control goroutine with the parts that carry its effects out.
func (n *Node) attach(cx context.Context) {
	control := do.MustInvoke[*carobcontrol.Control](n.injector)
	control.Attach(do.MustInvoke[*carobadmitter.Admitter](n.injector))
	control.Attach(do.MustInvoke[*carobentrance.Entrance](n.injector))
	control.Attach(do.MustInvoke[*carobcourier.Courier](n.injector))
	control.Attach(do.MustInvoke[*carobmeter.Meter](n.injector))
	control.Attach(carobclaimlog.NewClaimLog(cx, carobclaimlog.Config{
		Log:     do.MustInvoke[*carobplatform.Client](n.injector),
		Mailbox: do.MustInvoke[*carobmailbox.Mailbox](n.injector),
		Timer:   do.MustInvoke[*carobtimer.Timer](n.injector),
		Logger:  logrus.NewEntry(n.config.Logger),
	}))
	control.Attach(do.MustInvoke[*carobscribe.Scribe](n.injector))
	control.Attach(n)
}

// start starts the goroutines that serve nobody outside.
func (n *Node) start(cx context.Context) {
	go do.MustInvoke[*carobtimer.Timer](n.injector).Run(cx)
	go do.MustInvoke[*carobcontrol.Control](n.injector).Run(cx)
	go do.MustInvoke[*carobsplitter.Splitter](n.injector).Run(cx)
	go do.MustInvoke[*carobscribe.Scribe](n.injector).Run(cx)
	go n.follow(cx, carobstream.Profiles)
	go n.follow(cx, carobstream.Nodes)
}

// serve starts the servers, and returns what tells of the first that fails.
func (n *Node) serve(cx context.Context) <-chan error {
	splitter := do.MustInvoke[*carobsplitter.Splitter](n.injector)
	failed := make(chan error, 1)
	start := func(part string, run func(net.Listener) error, ls net.Listener) {
		if err := run(ls); err != nil && cx.Err() == nil {
			select {
			case failed <- carobkind.Wrap(carobkind.Internal, err, "serve "+part):
			default:
			}
		}
	}
	go start("calls", do.MustInvoke[*carobentrance.Entrance](n.injector).Serve, n.call)
	go start("attempts", do.MustInvoke[*attemptServer](n.injector).Serve, splitter.Calls)
	go start("control messages", do.MustInvoke[*carobcourier.Courier](n.injector).Serve, splitter.Control)
	go start("admin", do.MustInvoke[*carobadmin.Admin](n.injector).Serve, n.admin)
	return failed
}

// shutDown ends the node gracefully. Callers can open no more connections; what
// they have sent is still answered. Other nodes are told, and get refusals for
// what they send all the same, until none has sent an attempt for a while: one
// that met a closed connection instead could not be told from one that ran.
func (n *Node) shutDown(cx context.Context) {
	logger := n.config.Logger.WithField("node", n.config.Settings.Name)
	logger.Info("node: shutting down")
	mailbox := do.MustInvoke[*carobmailbox.Mailbox](n.injector)
	mailbox.Post(func(in *carobinbox.Inbox) { in.Stop = true })
	last, done := context.WithTimeout(cx, drainPatience)
	defer done()
	_ = do.MustInvoke[*carobentrance.Entrance](n.injector).Shutdown(last)
	select {
	case <-n.stopped:
	case <-last.Done():
		logger.Warn("node: calls still in flight are cut")
	}
	_ = do.MustInvoke[*carobtimer.Timer](n.injector).Wait(last, goodbye)
	closing, closed := context.WithTimeout(cx, closePatience)
	defer closed()
	do.MustInvoke[*carobscribe.Scribe](n.injector).Flush(closing)
	_ = do.MustInvoke[*attemptServer](n.injector).ShutdownWithContext(closing)
	_ = do.MustInvoke[*carobcourier.Courier](n.injector).Shutdown(closing)
	_ = do.MustInvoke[*carobadmin.Admin](n.injector).Shutdown(closing)
	logger.Info("node: stopped")
}

// Carry notes the end of a graceful shutdown.
func (n *Node) Carry(out *caroboutbox.Outbox) {
	if !out.Stopped {
		return
	}
	select {
	case <-n.stopped:
	default:
		close(n.stopped)
	}
}

// follow reads a stream of the platform's log.
func (n *Node) follow(cx context.Context, stream carobstream.Stream) {
	carobtail.NewTail(carobtail.Config{
		Stream: stream, Log: do.MustInvoke[*carobplatform.Client](n.injector),
		Mailbox: do.MustInvoke[*carobmailbox.Mailbox](n.injector),
		Timer:   do.MustInvoke[*carobtimer.Timer](n.injector), Logger: logrus.NewEntry(n.config.Logger),
	}).Run(cx)
}

func (n *Node) closeListeners() {
	for _, ls := range []net.Listener{n.call, n.peer, n.admin} {
		if ls != nil {
			_ = ls.Close()
		}
	}
}

// scribeKept is the most bytes that are kept of each stream while the log is out.
const scribeKept = 8 * carobsize.MiB
