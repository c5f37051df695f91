// Package carobnode assembles the parts of a node and runs them.
package carobnode

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the parameters of a node.
type Config struct {
	Settings carobsettings.Settings
	Logger   *logrus.Logger
	// Dialect and Store belong to a platform. Both are nil for carobknot's own HTTP
	// interface and log.
	Dialect dialect
	Store   store
	// LocalTarget describes a target that may already run on the VM; a health check
	// determines its name and slots. No health check is sent if the address is empty.
	LocalTarget carobannouncement.Announcement
}

// dialect is the HTTP interface to a platform's callers and targets. The interfaces
// of the same name in carobdialectfrontend, carobexchange and carobadmitter describe the methods.
type dialect interface {
	ParseArrival(req *fasthttp.Request) (carobarrival.Arrival, error)
	WriteRefusal(resp *fasthttp.Response, req *fasthttp.Request, kind carobkind.Kind, after time.Duration, detail string)
	PrepareAttempt(header *fasthttp.RequestHeader, arrival *carobarrival.Arrival, send *carobsend.Send)
	PrepareRequest(req *fasthttp.Request, start *carobstart.Start, target carobtargetid.ID)
	ResponseHeaders() []string
	PrepareHealthCheck(req *fasthttp.Request, address carobaddress.Address)
	ParseIdentity(resp *fasthttp.Response) (carobname.Name, int)
	MatchesRequest(req *fasthttp.Request, resp *fasthttp.Response) bool
	Classify(resp *fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad)
	ParseDirective(resp *fasthttp.Response) *carobtargetdirective.TargetDirective
}

// store keeps a platform's route tables, and the descriptions by which nodes find each
// other.
type store interface {
	AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error)
	PutMember(ctx context.Context, node carobnodeid.ID, member []byte) error
	Members(ctx context.Context) ([][]byte, error)
}

// callServer receives the calls of callers.
type callServer interface {
	Execute(out *caroboutbox.Outbox)
	Serve(listener net.Listener) error
	Drain()
	Shutdown(ctx context.Context) error
}

// Node is one node: its listeners and its parts.
type Node struct {
	config        Config
	callListener  net.Listener
	peerListener  net.Listener
	adminListener net.Listener
	injector      do.Injector
	// shuttingDown is true once a graceful shutdown has begun.
	shuttingDown atomic.Bool
	// stopped is closed when the control goroutine reports that a graceful shutdown is
	// complete.
	stopped chan struct{}
}

const (
	// maxFailureLines is the largest number of log lines a second for failed calls.
	maxFailureLines = 200
	// logTimeout is the time-out of a request to the platform's log.
	logTimeout = 2 * time.Second
	// protocolDetectionTimeout is how long a new connection to the peer address may
	// take to send the bytes by which its protocol is detected.
	protocolDetectionTimeout = 5 * time.Second
	// finalSendDelay is the delay before the servers are closed, in which the last
	// messages to other nodes are sent.
	finalSendDelay = 200 * time.Millisecond
	// closeTimeout is the longest time for closing the servers. A tenth of
	// Settings.ShutdownTimeout applies if it is shorter.
	closeTimeout = 2 * time.Second

	// keepAliveInterval is the interval of TCP keep-alive probes on a connection
	// without traffic.
	keepAliveInterval = 500 * time.Millisecond
	// maxReuseAge is the longest time that a connection may have been idle to get a
	// call which must not run twice. The peer may have dropped an older one silently.
	maxReuseAge = time.Second
	// maxBufferedResponse is the size of the largest response body that is read to its
	// end before the response is forwarded, in bytes.
	maxBufferedResponse = 256 * carobsize.KiB

	// dialTimeout is the time-out for opening a connection.
	dialTimeout = time.Second
	// peerDialTimeout is the time-out for opening a connection to another node of a
	// platform. It is shorter, since those nodes are few round trips away.
	peerDialTimeout = 300 * time.Millisecond
	// targetIdleTimeout and peerIdleTimeout are how long an idle connection is
	// kept. Targets close idle connections earlier than nodes do.
	targetIdleTimeout = 5 * time.Second
	peerIdleTimeout   = 30 * time.Second
	// maxIdleConns is the largest number of idle connections to one address.
	maxIdleConns = 256
)

// keepAliveConfig configures the TCP keep-alive probes on accepted connections, which
// detect that a peer has become unreachable.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}

// NewNode opens the listeners of a node and assembles its parts. The error
// has the kind Invalid if a listener cannot be opened.
func NewNode(ctx context.Context, c Config) (*Node, error) {
	n := &Node{config: c, stopped: make(chan struct{})}
	n.injector = n.provide()
	listen := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
	for _, endpoint := range []struct {
		name    string
		address carobaddress.Address
		into    *net.Listener
	}{
		{"calls", c.Settings.CallAddress, &n.callListener},
		{"peers", c.Settings.PeerAddress, &n.peerListener},
		{"admin", c.Settings.AdminAddress, &n.adminListener},
	} {
		listener, err := listen.Listen(ctx, "tcp", string(endpoint.address))
		if err != nil {
			n.closeListeners()
			return nil, carobkind.Wrap(carobkind.Invalid, err, "listen")
		}
		*endpoint.into = n.Guard(listener, endpoint.name)
	}
	n.peerListener = n.bound(n.peerListener, max(1, c.Settings.Limits.Descriptors/peerShare))
	n.adminListener = n.bound(n.adminListener, maxServiceConnections)
	return n, nil
}

// CallAddress returns the address at which the node receives calls.
func (n *Node) CallAddress() carobaddress.Address {
	return carobaddress.Address(n.callListener.Addr().String())
}

// PeerAddress returns the address at which the node receives attempts and control
// messages of other nodes.
func (n *Node) PeerAddress() carobaddress.Address {
	return carobaddress.Address(n.peerListener.Addr().String())
}

// AdminAddress returns the address at which the node receives the announcements of the
// VM's own targets and the requests of operators.
func (n *Node) AdminAddress() carobaddress.Address {
	return carobaddress.Address(n.adminListener.Addr().String())
}

// Announce processes the announcement of a target on the VM, and returns after the
// tick that applied it.
func (n *Node) Announce(ctx context.Context, announcement carobannouncement.Announcement) error {
	do.MustInvoke[*carobmailbox.Mailbox](n.injector).Post(func(inbox *carobinbox.Inbox) {
		inbox.Announcements = append(inbox.Announcements, announcement)
	})
	return do.MustInvoke[*carobcontrol.Control](n.injector).Query(ctx, func(*carobworld.World) {})
}

// Ready reports whether the node has a route table and is not shutting down.
func (n *Node) Ready(ctx context.Context) bool {
	ready := false
	err := do.MustInvoke[*carobcontrol.Control](n.injector).Query(ctx, func(world *carobworld.World) {
		ready = world.RouteTable != nil && !n.shuttingDown.Load()
	})
	return err == nil && ready
}

// Run runs the node until ctx ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.addExecutors(runCtx)
	n.startBackground(runCtx)
	failed := n.startServers(runCtx)
	if n.config.LocalTarget.Address != "" {
		go n.discoverTarget(runCtx)
	}
	n.config.Logger.WithFields(logrus.Fields{
		"node": n.config.Settings.Name, "call": n.CallAddress(), "peer": n.PeerAddress(), "admin": n.AdminAddress(),
	}).Info("node: started")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	n.shutDown(runCtx)
	return nil
}

// Execute closes stopped when the control goroutine reports the end of a graceful
// shutdown.
func (n *Node) Execute(out *caroboutbox.Outbox) {
	if !out.Stopped {
		return
	}
	select {
	case <-n.stopped:
	default:
		close(n.stopped)
	}
}

// maxBufferedSize is the largest number of bytes that are buffered for each stream
// while the log is unavailable.
const maxBufferedSize = 8 * carobsize.MiB
