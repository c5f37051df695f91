package carobnode

import (
	"net"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobacceptor"
	"github.com/carobknot/carobknot/internal/carobtimer"
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

// freeDescriptors closes connections without a call under way: the idle ones to targets
// and other nodes, and those of callers only if there were none.
func (n *Node) freeDescriptors() {
	closed := do.MustInvoke[targetPool](n.injector).CloseIdle() + do.MustInvoke[peerPool](n.injector).CloseIdle()
	if callers, ok := do.MustInvoke[callServer](n.injector).(idleCloser); ok && closed == 0 {
		callers.CloseIdle()
	}
}
