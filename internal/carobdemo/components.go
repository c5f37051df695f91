package carobdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobfakelog"
	"github.com/carobknot/carobknot/internal/carobfaketarget"
	"github.com/carobknot/carobknot/internal/caroblogclient"
	"github.com/carobknot/carobknot/internal/carobnode"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// nodeAddresses are the addresses of a node for calls and for administration.
type nodeAddresses struct {
	call  carobaddress.Address
	admin carobaddress.Address
}

// runningTarget is a target, its service's guarantee and its address.
type runningTarget struct {
	id        carobtargetid.ID
	guarantee carobguarantee.Guarantee
	address   carobaddress.Address
}

// logTimeout is how long publishing a profile may take.
const logTimeout = 2 * time.Second

// start starts the log, the nodes and the targets, publishes the profiles and
// waits until every node answers calls of every service.
func (d *Demo) start(ctx context.Context) error {
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.stops = append(d.stops, cancel)
	go d.timer.Run(componentCtx)
	log, err := d.startLog(ctx)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		if err := d.startNode(ctx, i, log); err != nil {
			return err
		}
	}
	for _, service := range services {
		for i, node := range d.nodes {
			if err := d.startTarget(ctx, i, node, service); err != nil {
				return err
			}
		}
		if err := publish(ctx, log, service); err != nil {
			return err
		}
	}
	return d.waitUntilReady(ctx)
}

func (d *Demo) startLog(ctx context.Context) (url string, err error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	server := carobfakelog.NewFakeLog(carobfakelog.Config{Timer: d.timer})
	go func() { _ = server.Serve(listener) }()
	d.stops = append(d.stops, func() { _ = listener.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (d *Demo) startNode(ctx context.Context, index int, log string) error {
	const anyPort = "127.0.0.1:0"
	settings := carobsettings.Settings{
		Name: carobnodeid.ID(fmt.Sprintf("node%d", index)), Region: "demo", Centre: "loopback",
		CallAddress: anyPort, PeerAddress: anyPort, AdminAddress: anyPort, LogURL: log,
		ProbeLimits: carobprobelimits.NewProbeLimits(), Limits: caroblimits.NewLimits(),
	}
	node, err := carobnode.NewNode(ctx, carobnode.Config{Settings: settings, Logger: d.logger})
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, nodeAddresses{call: node.CallAddress(), admin: node.AdminAddress()})
	d.run(ctx, node.Run)
	return nil
}

func (d *Demo) startTarget(ctx context.Context, index int, node nodeAddresses, service service) error {
	listener, err := listen(ctx)
	if err != nil {
		return err
	}
	behaviour := carobbehaviour.NewBehaviour()
	behaviour.Latency, behaviour.Shape = carobduration.Duration(latency), carobbehaviour.LogNormal
	id := carobtargetid.ID{Service: service.name, Name: carobname.Name(fmt.Sprintf("t%d", index))}
	target := carobfaketarget.NewFakeTarget(carobfaketarget.Config{
		ID: id, Profile: carobname.Name(service.name), Slots: slots, Connections: slots * slots, Behaviour: behaviour,
		Seed: d.config.Seed + uint64(len(d.targets)), Admin: node.admin, Timer: d.timer, Logger: d.logger,
	})
	d.targets = append(d.targets, runningTarget{
		id: id, guarantee: service.guarantee, address: carobaddress.Address(listener.Addr().String()),
	})
	d.run(ctx, func(ctx context.Context) error { return target.Run(ctx, listener) })
	return nil
}

// run runs a component until the demo ends.
func (d *Demo) run(ctx context.Context, component func(ctx context.Context) error) {
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = component(componentCtx)
	}()
	d.stops = append(d.stops, func() {
		cancel()
		<-done
	})
}

// stop stops all components in the reverse order of their start.
func (d *Demo) stop() {
	for i := len(d.stops) - 1; i >= 0; i-- {
		d.stops[i]()
	}
}

// publish appends the profile of a service to the log.
func publish(ctx context.Context, log string, service service) error {
	profile := carobprofile.NewProfile(carobname.Name(service.name))
	profile.Guarantee = service.guarantee
	data, err := json.Marshal(carobchange.Change{Profile: profile, Who: "demo"})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode change")
	}
	_, err = caroblogclient.NewLogClient(caroblogclient.Config{URL: log, Timeout: logTimeout}).
		Append(ctx, carobstream.Profiles, data)
	return err
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "listen")
	}
	return listener, nil
}
