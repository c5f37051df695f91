// Package carobnode puts the parts of a node together and runs them.
package carobnode

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobadmin"
	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobclaimlog"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobenroller"
	"github.com/carobknot/carobknot/internal/carobeventlog"
	"github.com/carobknot/carobknot/internal/carobfollower"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/internal/carobsplitter"
	"github.com/carobknot/carobknot/internal/carobtail"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtracewriter"
	"github.com/carobknot/carobknot/internal/carobtransport"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how a node is made.
type Config struct {
	Settings carobsettings.Settings
	Logger   *logrus.Logger
	// Dialect and Store are those of a platform; nil both for the system's own
	// interface and log.
	Dialect dialect
	Store   store
	// Beside is a target that may run on the VM already; its name and slots are asked
	// for. Without an address nothing is asked.
	Beside carobannouncement.Announcement
}

// dialect is how a platform's callers and targets are spoken to.
type dialect interface {
	Arrival(rq *fasthttp.Request) (carobarrival.Arrival, error)
	Refuse(rs *fasthttp.Response, rq *fasthttp.Request, kind carobkind.Kind, after time.Duration, detail string)
	Ask(rq *fasthttp.Request, st *carobstart.Start, target carobtargetid.ID)
	Check(rq *fasthttp.Request, address carobaddress.Address)
	Identity(rs *fasthttp.Response) (carobname.Name, int)
	Mine(rq *fasthttp.Request, rs *fasthttp.Response) bool
	Judge(rs *fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad)
}

// store is where a platform keeps route tables and lets nodes find each other.
type store interface {
	Routes(cx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error)
	Enrol(cx context.Context, node carobnodeid.ID, word []byte) error
	Words(cx context.Context) ([][]byte, error)
}

// front takes calls.
type front interface {
	Carry(out *caroboutbox.Outbox)
	Serve(ls net.Listener) error
	Drain()
	Shutdown(cx context.Context) error
}

// Node is one node: its listeners and its parts.
type Node struct {
	config   Config
	call     net.Listener
	peer     net.Listener
	admin    net.Listener
	injector do.Injector
	// leaving says that a graceful shutdown has begun.
	leaving atomic.Bool
	// stopped is closed when a graceful shutdown is complete.
	stopped chan struct{}
}

const (
	// failureLines is how many lines a second are logged of calls that failed.
	failureLines = 200
	logPatience  = 2 * time.Second
	sortPatience = 5 * time.Second
	// goodbye is how long the last messages to other nodes have to leave.
	goodbye       = 200 * time.Millisecond
	closePatience = 2 * time.Second

	// alive is the time between two signs of life on a quiet connection.
	alive = 500 * time.Millisecond
	// recent is how long a connection may have been unused that gets a call which
	// must not run twice.
	recent = time.Second
	// gather is the longest answer that is read to its end before it is passed on.
	gather = 256 * carobsize.KiB

	// dialPatience is how long opening a connection may take.
	dialPatience = time.Second
	// peerPatience is that for a platform's nodes, which are few round trips away.
	peerPatience = 300 * time.Millisecond
	// targetIdle and peerIdle are how long a connection is kept unused. Targets
	// close theirs sooner than nodes do.
	targetIdle = 5 * time.Second
	peerIdle   = 30 * time.Second
	// idleConns is the most unused connections to one address.
	idleConns = 256
)

// keepAlive finds connections that went silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: alive, Interval: alive, Count: 3}

// NewNode opens a node's listeners and makes its parts.
func NewNode(cx context.Context, c Config) (*Node, error) {
	n := &Node{config: c, stopped: make(chan struct{})}
	listen := net.ListenConfig{KeepAliveConfig: keepAlive}
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

// Announce takes in what a target on the VM tells of itself, and returns once the
// node goes by it.
func (n *Node) Announce(cx context.Context, an carobannouncement.Announcement) error {
	do.MustInvoke[*carobmailbox.Mailbox](n.injector).Post(func(in *carobinbox.Inbox) {
		in.Announcements = append(in.Announcements, an)
	})
	return do.MustInvoke[*carobcontrol.Control](n.injector).Ask(cx, func(*carobworld.World) {})
}

// Ready reports whether the node can route calls by a route table.
func (n *Node) Ready(cx context.Context) bool {
	ready := false
	err := do.MustInvoke[*carobcontrol.Control](n.injector).Ask(cx, func(w *carobworld.World) {
		ready = w.RouteTable != nil && !n.leaving.Load()
	})
	return err == nil && ready
}

// Run runs the node until cx ends, and then shuts down gracefully.
func (n *Node) Run(cx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	defer cancel()
	n.attach(inner)
	n.start(inner)
	failed := n.serve(inner)
	if n.config.Beside.Address != "" {
		go n.meet(inner)
	}
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

// meet announces the target that may run on the VM already.
func (n *Node) meet(cx context.Context) {
	if err := do.MustInvoke[*carobadmitter.Admitter](n.injector).Meet(cx, n.config.Beside); err != nil {
		n.config.Logger.WithError(err).Info("target: not met before its announcement")
	}
}

// attach connects the control goroutine with the parts that carry its effects out.
func (n *Node) attach(cx context.Context) {
	control := do.MustInvoke[*carobcontrol.Control](n.injector)
	control.Attach(do.MustInvoke[*carobadmitter.Admitter](n.injector))
	control.Attach(do.MustInvoke[front](n.injector))
	control.Attach(do.MustInvoke[*carobtransport.Transport](n.injector))
	control.Attach(do.MustInvoke[*carobmeter.Meter](n.injector))
	control.Attach(do.MustInvoke[*carobeventlog.EventLog](n.injector))
	if n.config.Store != nil {
		control.Attach(do.MustInvoke[*carobenroller.Enroller](n.injector))
		control.Attach(do.MustInvoke[*carobfollower.Follower](n.injector))
	} else {
		n.attachLog(cx, control)
	}
	control.Attach(n)
}

// attachLog connects the control goroutine with what writes into the log.
func (n *Node) attachLog(cx context.Context, control *carobcontrol.Control) {
	control.Attach(carobclaimlog.NewClaimLog(cx, carobclaimlog.Config{
		Log:     do.MustInvoke[*carobplatform.Client](n.injector),
		Mailbox: do.MustInvoke[*carobmailbox.Mailbox](n.injector),
		Timer:   do.MustInvoke[*carobtimer.Timer](n.injector),
		Logger:  logrus.NewEntry(n.config.Logger),
	}))
	control.Attach(do.MustInvoke[*carobtracewriter.TraceWriter](n.injector))
}

// start starts the goroutines that serve nobody outside.
func (n *Node) start(cx context.Context) {
	go do.MustInvoke[*carobtimer.Timer](n.injector).Run(cx)
	go do.MustInvoke[*carobcontrol.Control](n.injector).Run(cx)
	go do.MustInvoke[*carobsplitter.Splitter](n.injector).Run(cx)
	go do.MustInvoke[*carobeventlog.EventLog](n.injector).Run(cx)
	if n.config.Store != nil {
		go do.MustInvoke[*carobenroller.Enroller](n.injector).Run(cx)
		go do.MustInvoke[*carobfollower.Follower](n.injector).Run(cx)
		return
	}
	go do.MustInvoke[*carobtracewriter.TraceWriter](n.injector).Run(cx)
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
	go start("calls", do.MustInvoke[front](n.injector).Serve, n.call)
	go start("attempts", do.MustInvoke[*attemptServer](n.injector).Serve, splitter.Calls)
	go start("control messages", do.MustInvoke[*carobtransport.Transport](n.injector).Serve, splitter.Control)
	go start("admin", do.MustInvoke[*carobadmin.Admin](n.injector).Serve, n.admin)
	return failed
}

// shutDown ends the node gracefully. Callers that may not know yet are served for
// a while, and so are the nodes that call its target; then callers can open no more
// connections, and what they have sent is still answered. Other nodes are told, and get refusals for what they send all
// the same, until none has sent an attempt for a while: one that met a closed
// connection instead could not be told from one that ran.
func (n *Node) shutDown(cx context.Context) {
	logger := n.config.Logger.WithField("node", n.config.Settings.Name)
	logger.Info("node: shutting down")
	n.leaving.Store(true)
	mailbox := do.MustInvoke[*carobmailbox.Mailbox](n.injector)
	last, done := context.WithTimeout(cx, n.config.Settings.Grace.Duration())
	defer done()
	callers := do.MustInvoke[front](n.injector)
	ending := do.MustInvoke[*carobtimer.Timer](n.injector).Now().Add(n.config.Settings.Grace.Duration())
	mailbox.Post(func(in *carobinbox.Inbox) { in.ShutdownDeadline = ending })
	callers.Drain()
	_ = do.MustInvoke[*carobtimer.Timer](n.injector).Wait(last, n.config.Settings.Stay.Duration())
	mailbox.Post(func(in *carobinbox.Inbox) { in.Stop = true })
	_ = callers.Shutdown(last)
	select {
	case <-n.stopped:
	case <-last.Done():
	}
	const part = 10
	closing, closed := context.WithTimeout(cx, min(closePatience, n.config.Settings.Grace.Duration()/part))
	defer closed()
	if last.Err() != nil {
		logger.Warn("node: calls still in flight get their last answer")
		mailbox.Post(func(in *carobinbox.Inbox) { in.Exit = true })
		_ = callers.Shutdown(closing)
	}
	_ = do.MustInvoke[*carobtimer.Timer](n.injector).Wait(last, goodbye)
	if n.config.Store == nil {
		do.MustInvoke[*carobtracewriter.TraceWriter](n.injector).Flush(closing)
	}
	_ = do.MustInvoke[*attemptServer](n.injector).ShutdownWithContext(closing)
	_ = do.MustInvoke[*carobtransport.Transport](n.injector).Shutdown(closing)
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

// tracesKept is the most bytes that are kept of each stream while the log is out.
const tracesKept = 8 * carobsize.MiB
