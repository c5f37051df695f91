package carobnode

import (
	"net"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobacceptor"
	"github.com/carobknot/carobknot/internal/carobboundedlistener"
	"github.com/carobknot/carobknot/internal/carobmeter"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobshedding"
)

const (
	// maxServiceConnections is how many connections may be open at each address for
	// heartbeats, readiness checks and metrics. A VM has a handful.
	maxServiceConnections = 64
	// stallWhileFull is how long a client may make no progress with its first request while
	// an address has no room for another connection. Clients at these addresses are on the
	// VM or few round trips away, and send their request at once.
	stallWhileFull = 50 * time.Millisecond
	// peerShare is the share of Limits.Descriptors, as a divisor, for connections that other
	// nodes opened.
	peerShare = 3
)

// idleCloser closes the connections that have no call.
type idleCloser interface {
	CloseIdle()
}

// Guard returns a listener that accepts from the given one and outlives errors of Accept
// that pass, such as a shortage of descriptors. Its name is used in logs. A server beside
// the node uses it for its own listeners.
func (n *Node) Guard(listener net.Listener, name string) net.Listener {
	return carobacceptor.NewAcceptor(carobacceptor.Config{
		Listener: listener, Timer: do.MustInvoke[*carobtimer.Timer](n.injector), Logger: logrus.NewEntry(n.config.Logger), Name: name,
		Relieve: n.freeDescriptors,
	})
}

// GuardBounded returns a listener as Guard does that also bounds its open connections. It
// is for the few clients on the VM and of the platform: those of heartbeats, readiness
// checks and metrics.
func (n *Node) GuardBounded(listener net.Listener, name string) net.Listener {
	return n.bound(n.Guard(listener, name), maxServiceConnections)
}

// bound returns a listener with a limited number of open connections.
func (n *Node) bound(listener net.Listener, limit int) net.Listener {
	return carobboundedlistener.NewBoundedListener(carobboundedlistener.Config{
		Listener: listener, Limit: limit, Timer: do.MustInvoke[*carobtimer.Timer](n.injector),
		Shedding: carobshedding.NewShedding(carobshedding.Config{StallTimeout: stallWhileFull, ProgressSize: progressSize}), Count: do.MustInvoke[*carobmeter.Meter](n.injector).CountYielded,
	})
}

// freeDescriptors closes connections without a call under way: the idle ones to targets
// and other nodes, and those of callers only if there were none.
func (n *Node) freeDescriptors() {
	closed := do.MustInvoke[targetPool](n.injector).CloseIdle() + do.MustInvoke[peerPool](n.injector).CloseIdle()
	if callers, ok := do.MustInvoke[callServer](n.injector).(idleCloser); ok && closed == 0 {
		callers.CloseIdle()
	}
}
