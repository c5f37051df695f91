package carobnode

import (
	"math"
	"time"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobenroller"
	"github.com/carobknot/carobknot/internal/carobentrance"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobfollower"
	"github.com/carobknot/carobknot/internal/carobingress"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobpool"
	"github.com/carobknot/carobknot/internal/carobrelay"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobwatch"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

const (
	// peerRoom is the room for the system's own headers between nodes.
	peerRoom = 4096
	// watchPeriod is how long a hang-up may go unnoticed.
	watchPeriod = 25 * time.Millisecond
)

// attemptServer answers the attempts of other nodes.
type attemptServer struct {
	*fasthttp.Server
}

// wireTraffic says how the parts that move the bytes of calls are made.
func (n *Node) wireTraffic(i do.Injector) {
	st := n.config.Settings
	do.Provide(i, func(i do.Injector) (*carobwatch.Watch, error) {
		return carobwatch.NewWatch(carobwatch.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](i), Period: watchPeriod,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobadmitter.Admitter, error) {
		targets := carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](i), Dial: dialPatience, Idle: targetIdle, Kept: idleConns,
			Header: int(st.Limits.HeaderSize), Stall: st.Limits.StallTimeout.Duration(),
		}
		c := carobadmitter.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i),
			Watch:   do.MustInvoke[*carobwatch.Watch](i), Timer: do.MustInvoke[*carobtimer.Timer](i),
			Stall: st.Limits.StallTimeout.Duration(),
		}
		if n.config.Dialect != nil {
			targets.Recent, targets.Alive, targets.Unframed, targets.Mine = recent, alive, true, n.config.Dialect.Mine
			c.Dialect, c.Gather = n.config.Dialect, gather
		}
		c.Targets = carobpool.NewPool(targets)
		return carobadmitter.NewAdmitter(c), nil
	})
	do.Provide(i, func(i do.Injector) (*carobrelay.Relay, error) {
		peers := carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](i), Dial: dialPatience, Idle: peerIdle, Kept: idleConns, Ask: true,
			Header: peerRoom + int(st.Limits.HeaderSize), Stall: st.Limits.StallTimeout.Duration(),
		}
		if n.config.Dialect != nil {
			peers.Dial, peers.Recent, peers.Alive = peerPatience, recent, alive
		}
		return carobrelay.NewRelay(carobrelay.Config{Peers: carobpool.NewPool(peers), Own: do.MustInvoke[*carobadmitter.Admitter](i)}), nil
	})
	do.Provide(i, func(i do.Injector) (front, error) {
		self := do.MustInvoke[carobmember.Member](i)
		if n.config.Dialect == nil {
			return carobentrance.NewEntrance(carobentrance.Config{
				Node: self.Node, Incarnation: self.Incarnation, Limits: st.Limits,
				Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Control: do.MustInvoke[*carobcontrol.Control](i),
				Watch: do.MustInvoke[*carobwatch.Watch](i), Timer: do.MustInvoke[*carobtimer.Timer](i),
				Relay: do.MustInvoke[*carobrelay.Relay](i),
			}), nil
		}
		return carobingress.NewIngress(carobingress.Config{
			Node: self.Node, Incarnation: self.Incarnation, Limits: st.Limits, Dialect: n.config.Dialect,
			Exchanges: carobexchange.NewExchanges(carobexchange.Config{
				Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Relay: do.MustInvoke[*carobrelay.Relay](i), Gather: gather,
			}),
			Timer: do.MustInvoke[*carobtimer.Timer](i),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*attemptServer, error) {
		return &attemptServer{Server: &fasthttp.Server{
			Handler:              do.MustInvoke[*carobadmitter.Admitter](i).Serve,
			ExpectHandler:        do.MustInvoke[*carobadmitter.Admitter](i).Expect,
			ErrorHandler:         do.MustInvoke[*carobadmitter.Admitter](i).Fail,
			ReadBufferSize:       peerRoom + int(st.Limits.HeaderSize),
			MaxRequestBodySize:   math.MaxInt,
			ReadTimeout:          st.Limits.HeaderTimeout.Duration(),
			IdleTimeout:          2 * peerIdle,
			WriteTimeout:         st.Limits.StallTimeout.Duration(),
			StreamRequestBody:    true,
			NoDefaultContentType: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
			DisablePreParseMultipartForm: true,
		}}, nil
	})
}

// wireStore says how the parts are made that speak to a platform's store.
func (n *Node) wireStore(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*carobenroller.Enroller, error) {
		return carobenroller.NewEnroller(carobenroller.Config{
			Node: n.config.Settings.Name, Directory: n.config.Store,
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Timer: do.MustInvoke[*carobtimer.Timer](i),
			Logger: logrus.NewEntry(n.config.Logger),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobfollower.Follower, error) {
		return carobfollower.NewFollower(carobfollower.Config{
			Source: n.config.Store, Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i),
			Timer: do.MustInvoke[*carobtimer.Timer](i), Logger: logrus.NewEntry(n.config.Logger),
		}), nil
	})
}
