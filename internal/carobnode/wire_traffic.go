package carobnode

import (
	"math"
	"time"

	"github.com/samber/do/v2"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobadmitter"
	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobentrance"
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
		targets := carobpool.NewPool(carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](i), Dial: dialPatience, Idle: targetIdle, Kept: idleConns,
			Header: int(st.Limits.Header), Stall: st.Limits.Stall.Duration(),
		})
		return carobadmitter.NewAdmitter(carobadmitter.Config{
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Targets: targets,
			Watch: do.MustInvoke[*carobwatch.Watch](i), Timer: do.MustInvoke[*carobtimer.Timer](i),
			Stall: st.Limits.Stall.Duration(),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*carobentrance.Entrance, error) {
		peers := carobpool.NewPool(carobpool.Config{
			Timer: do.MustInvoke[*carobtimer.Timer](i), Dial: dialPatience, Idle: peerIdle, Kept: idleConns, Ask: true,
			Header: peerRoom + int(st.Limits.Header), Stall: st.Limits.Stall.Duration(),
		})
		self := do.MustInvoke[carobmember.Member](i)
		return carobentrance.NewEntrance(carobentrance.Config{
			Node: self.Node, Incarnation: self.Incarnation, Limits: st.Limits,
			Mailbox: do.MustInvoke[*carobmailbox.Mailbox](i), Control: do.MustInvoke[*carobcontrol.Control](i),
			Watch: do.MustInvoke[*carobwatch.Watch](i), Timer: do.MustInvoke[*carobtimer.Timer](i),
			Relay: carobrelay.NewRelay(carobrelay.Config{
				Peers: peers, Own: do.MustInvoke[*carobadmitter.Admitter](i),
			}),
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*attemptServer, error) {
		return &attemptServer{Server: &fasthttp.Server{
			Handler:              do.MustInvoke[*carobadmitter.Admitter](i).Serve,
			ExpectHandler:        do.MustInvoke[*carobadmitter.Admitter](i).Expect,
			ErrorHandler:         do.MustInvoke[*carobadmitter.Admitter](i).Fail,
			ReadBufferSize:       peerRoom + int(st.Limits.Header),
			MaxRequestBodySize:   math.MaxInt,
			ReadTimeout:          st.Limits.Head.Duration(),
			IdleTimeout:          2 * peerIdle,
			WriteTimeout:         st.Limits.Stall.Duration(),
			StreamRequestBody:    true,
			NoDefaultContentType: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
			DisablePreParseMultipartForm: true,
		}}, nil
	})
}
