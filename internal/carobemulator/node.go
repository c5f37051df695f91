package carobemulator

import (
	"fmt"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// tries is on how many targets a call may run.
	tries = 3
	// seeds is how many nodes a node knows at its start.
	seeds = 3
	// forever is longer than any run.
	forever = 1 << 60
)

// node is the control side of a node, and its target.
type node struct {
	place int
	self  carobmember.Member
	core  *carobcore.Core
	inbox carobinbox.Inbox
	// due is when the core is to step next; Never if nothing is to come.
	due    carobinstant.Instant
	target target
	// report is the newest report of the target's load.
	report *carobreport.Report
	// calls counts the calls that came to this node.
	calls uint64
	// open is where the attempts of this node's calls were sent.
	open map[carobjobid.ID]int
	// status is what the attempts were answered.
	status map[carobjobid.ID]int
}

func parts(service carobservice.Service) []carobweightedservice.WeightedService {
	return []carobweightedservice.WeightedService{{Service: service, Weight: 1}}
}

// addNodes starts a node beside each target.
func (e *Emulator) addNodes() {
	for _, centre := range e.scenario.Centres {
		for i := range e.scenario.Services {
			sv := &e.scenario.Services[i]
			for range sv.Targets {
				e.addNode(centre, sv.Name, sv.Slots)
			}
		}
	}
}

func (e *Emulator) addNode(centre carobcentre.Centre, service carobservice.Service, slots int) {
	const perNet = 250
	place := len(e.nodes)
	peer := carobaddress.Address(fmt.Sprintf("10.0.%d.%d:7002", place/perNet, 1+place%perNet))
	n := &node{
		place: place, due: e.now, open: map[carobjobid.ID]int{}, status: map[carobjobid.ID]int{},
		self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", place)), Incarnation: 1, Region: "here", Centre: centre, PeerAddress: peer,
		},
		target: target{id: carobtargetid.ID{Service: service, Name: carobname.Name(fmt.Sprintf("t%d", place))}, slots: slots},
	}
	var known []carobaddress.Address
	for _, other := range e.nodes[:min(seeds, place)] {
		known = append(known, other.self.PeerAddress)
	}
	n.core = carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self: n.self, Limits: caroblimits.NewLimits(), ProbeLimits: e.scenario.Measure, RetryLimits: e.scenario.Retries,
			Seed: e.random.Uint64(),
		},
		Seeds: known, Profiles: []carobprofile.Profile{e.scenario.Profile}, AnnouncementTimeout: forever, NoTracePropagation: true,
	})
	n.inbox.RouteTables = []*carobroutetable.RouteTable{e.routes}
	n.inbox.Announcements = []carobannouncement.Announcement{{
		Target: n.target.id, Address: peer, Profile: e.scenario.Profile.Name, Slots: slots, Connections: slots,
		Readiness: carobreadiness.Ready,
	}}
	e.nodes = append(e.nodes, n)
	e.places[peer], e.homes[n.self.Node] = place, place
}

// stepNodes runs the cores that are due, and carries their effects out.
func (e *Emulator) stepNodes() {
	for _, n := range e.nodes {
		if !n.due.Reached(e.now) {
			continue
		}
		in := n.inbox
		n.inbox = carobinbox.Inbox{}
		out := n.core.Tick(e.now, in)
		n.due = n.core.Wake()
		if n.due.Reached(e.now) {
			n.due = e.now.Add(1)
		}
		e.carry(n, out)
	}
}

// carry does what traffic goroutines do with the effects of a tick.
func (e *Emulator) carry(n *node, out *caroboutbox.Outbox) {
	for i := range out.Reports {
		n.report = &out.Reports[i]
	}
	for _, ms := range out.Messages {
		if to, ok := e.places[ms.To]; ok {
			e.post(to, e.hop(n.place, to), func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, ms) })
		}
	}
	for _, sd := range out.Sends {
		e.send(n, sd)
	}
	for _, rf := range out.Refusals {
		e.reply(n, rf.Job, n.target.id, rf.Kind, 0)
	}
	for _, st := range out.Starts {
		e.start(n, st)
	}
	for range out.HealthChecks {
		hl := carobcheckresult.CheckResult{Target: n.target.id, TargetLoad: e.pressure(n)}
		e.post(n.place, checkTime, func(in *carobinbox.Inbox) { in.CheckResults = append(in.CheckResults, hl) })
	}
	for _, id := range out.Cancels {
		e.cancel(n, id)
	}
	for _, cn := range out.Conclusions {
		e.conclude(n, cn)
	}
}

// send takes an attempt to the target's node.
func (e *Emulator) send(n *node, sd carobsend.Send) {
	to := n.place
	if sd.PeerAddress != "" {
		to = e.places[sd.PeerAddress]
	}
	n.open[sd.Job] = to
	of := caroboffer.Offer{Job: sd.Job, Target: sd.Target, Incarnation: sd.Incarnation, TimeLeft: sd.TimeLeft, Requirements: sd.Requirements}
	e.post(to, e.hop(n.place, to), func(in *carobinbox.Inbox) { in.Offers = append(in.Offers, of) })
}

// reply takes the end of an attempt, or of an offer, from a target's node to the entry.
func (e *Emulator) reply(n *node, id carobjobid.ID, target carobtargetid.ID, kind carobkind.Kind, status int) {
	to := e.homes[id.Call.Node]
	rp := carobreply.Reply{Job: id, Target: target, Kind: kind, Status: status, Report: n.report}
	e.post(to, e.hop(n.place, to), func(in *carobinbox.Inbox) {
		delete(e.nodes[to].open, id)
		e.nodes[to].status[id] = status
		in.Replies = append(in.Replies, rp)
	})
}

// cancel gives an attempt up.
func (e *Emulator) cancel(n *node, id carobjobid.ID) {
	to, ok := n.open[id]
	if !ok {
		return
	}
	delete(n.open, id)
	e.post(to, e.hop(n.place, to), func(in *carobinbox.Inbox) {
		e.stop(id)
		in.Finishes = append(in.Finishes, carobfinish.Finish{Job: id, Kind: carobkind.Cancelled})
	})
}
