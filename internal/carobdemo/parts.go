package carobdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobnode"
	"github.com/carobknot/carobknot/internal/carobplatform"
	"github.com/carobknot/carobknot/internal/carobsettings"
	"github.com/carobknot/carobknot/internal/carobstandlog"
	"github.com/carobknot/carobknot/internal/carobstandtarget"
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

// nodeAddresses are where a node answers.
type nodeAddresses struct {
	call  carobaddress.Address
	admin carobaddress.Address
}

// runningTarget is a target and where it answers.
type runningTarget struct {
	id      carobtargetid.ID
	once    carobguarantee.Guarantee
	address carobaddress.Address
}

const logPatience = 2 * time.Second

// begin starts the log, the nodes and the targets, publishes the profiles and
// waits until every node answers calls of every service.
func (d *Demo) begin(cx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	d.parts = append(d.parts, cancel)
	go d.timer.Run(inner)
	log, err := d.startLog(cx)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		if err := d.startNode(cx, i, log); err != nil {
			return err
		}
	}
	for _, sv := range services {
		for i, nd := range d.nodes {
			if err := d.startTarget(cx, i, nd, sv); err != nil {
				return err
			}
		}
		if err := publish(cx, log, sv); err != nil {
			return err
		}
	}
	return d.await(cx)
}

func (d *Demo) startLog(cx context.Context) (url string, err error) {
	ls, err := listen(cx)
	if err != nil {
		return "", err
	}
	lg := carobstandlog.NewLog(carobstandlog.Config{Timer: d.timer})
	go func() { _ = lg.Serve(ls) }()
	d.parts = append(d.parts, func() { _ = ls.Close() })
	return "http://" + ls.Addr().String(), nil
}

func (d *Demo) startNode(cx context.Context, i int, log string) error {
	const any0 = "127.0.0.1:0"
	st := carobsettings.Settings{
		Name: carobnodeid.ID(fmt.Sprintf("node%d", i)), Region: "demo", Centre: "loopback",
		Call: any0, Peer: any0, Admin: any0, Log: log,
		Measure: carobprobelimits.NewProbeLimits(), Limits: caroblimits.NewLimits(),
	}
	nd, err := carobnode.NewNode(cx, carobnode.Config{Settings: st, Logger: d.logger})
	if err != nil {
		return err
	}
	d.nodes = append(d.nodes, nodeAddresses{call: nd.Call(), admin: nd.Admin()})
	d.run(cx, nd.Run)
	return nil
}

func (d *Demo) startTarget(cx context.Context, i int, nd nodeAddresses, sv service) error {
	ls, err := listen(cx)
	if err != nil {
		return err
	}
	bh := carobbehaviour.NewBehaviour()
	bh.Latency, bh.Shape = carobduration.Duration(latency), carobbehaviour.LogNormal
	id := carobtargetid.ID{Service: sv.name, Name: carobname.Name(fmt.Sprintf("t%d", i))}
	tg := carobstandtarget.NewTarget(carobstandtarget.Config{
		ID: id, Profile: carobname.Name(sv.name), Slots: slots, Conns: slots * slots, Behaviour: bh,
		Seed: d.config.Seed + uint64(len(d.targets)), Admin: nd.admin, Timer: d.timer, Logger: d.logger,
	})
	d.targets = append(d.targets, runningTarget{
		id: id, once: sv.once, address: carobaddress.Address(ls.Addr().String()),
	})
	d.run(cx, func(cx context.Context) error { return tg.Run(cx, ls) })
	return nil
}

// run runs a part until the demo ends.
func (d *Demo) run(cx context.Context, part func(cx context.Context) error) {
	inner, cancel := context.WithCancel(context.WithoutCancel(cx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = part(inner)
	}()
	d.parts = append(d.parts, func() {
		cancel()
		<-done
	})
}

// end ends all parts, those started last first.
func (d *Demo) end() {
	for i := len(d.parts) - 1; i >= 0; i-- {
		d.parts[i]()
	}
}

func publish(cx context.Context, log string, sv service) error {
	pf := carobprofile.NewProfile(carobname.Name(sv.name))
	pf.Guarantee = sv.once
	data, err := json.Marshal(carobchange.Change{Profile: pf, Who: "demo"})
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode change")
	}
	_, err = carobplatform.NewClient(carobplatform.Config{URL: log, Patience: logPatience}).
		Append(cx, carobstream.Profiles, data)
	return err
}

func listen(cx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	ls, err := config.Listen(cx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Internal, err, "listen")
	}
	return ls, nil
}
