package carobemulator

import (
	"fmt"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
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
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// maxTries is the MaxTries of every route: the limit of attempts of a call.
	maxTries = 3
	// seedCount is the number of nodes whose addresses a node has at its start.
	seedCount = 3
	// forever is longer than any run, so that announcements do not expire.
	forever = 1 << 60
)

// node is the core of a node and the target beside it.
type node struct {
	// index is the node's place in Emulator.nodes.
	index int
	self  carobmember.Member
	core  *carobcore.Core
	inbox carobinbox.Inbox
	// due is when the core's next tick is due; Never if none is scheduled.
	due    carobinstant.Instant
	target target
	// report is the newest report of the target's load.
	report *carobreport.Report
	// callCount counts the calls that arrived at this node.
	callCount uint64
	// openAttempts maps each open attempt of this node's calls to the index of the
	// node that it was sent to.
	openAttempts map[carobjobid.ID]int
	// statuses holds the response status of each attempt that has ended.
	statuses map[carobjobid.ID]int
}

// weightedServices returns the split of a route that has one service only.
func weightedServices(service carobservice.Service) []carobweightedservice.WeightedService {
	return []carobweightedservice.WeightedService{{Service: service, Weight: 1}}
}

// addNodes starts a node beside each target.
func (e *Emulator) addNodes() {
	for _, centre := range e.scenario.Centres {
		for i := range e.scenario.Services {
			service := &e.scenario.Services[i]
			for range service.Targets {
				e.addNode(centre, service.Name, service.Slots)
			}
		}
	}
}

func (e *Emulator) addNode(centre carobcentre.Centre, service carobservice.Service, slots int) {
	const nodesPerSubnet = 250
	index := len(e.nodes)
	peer := carobaddress.Address(fmt.Sprintf("10.0.%d.%d:7002", index/nodesPerSubnet, 1+index%nodesPerSubnet))
	node := &node{
		index: index, due: e.now, openAttempts: map[carobjobid.ID]int{}, statuses: map[carobjobid.ID]int{},
		self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", index)), Incarnation: 1, Region: "here", Centre: centre, PeerAddress: peer,
		},
		target: target{id: carobtargetid.ID{Service: service, Name: carobname.Name(fmt.Sprintf("t%d", index))}, slots: slots, paceFactor: e.paceFactor(index)},
	}
	var seedAddresses []carobaddress.Address
	for _, other := range e.nodes[:min(seedCount, index)] {
		seedAddresses = append(seedAddresses, other.self.PeerAddress)
	}
	node.core = carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self: node.self, Limits: caroblimits.NewLimits(), ProbeLimits: e.scenario.ProbeLimits, RetryLimits: e.scenario.RetryLimits,
			Seed: e.random.Uint64(),
		},
		Seeds: seedAddresses, Profiles: []carobprofile.Profile{e.scenario.Profile}, AnnouncementTimeout: forever, NoTracePropagation: true,
		AdmissionOrder: e.admissionOrder,
	})
	node.inbox.RouteTables = []*carobroutetable.RouteTable{e.routes}
	node.inbox.Announcements = []carobannouncement.Announcement{{
		Target: node.target.id, Address: peer, Profile: e.scenario.Profile.Name, Slots: slots, Connections: slots,
		Readiness: carobreadiness.Ready,
	}}
	e.nodes = append(e.nodes, node)
	e.nodeByAddress[peer], e.nodeByID[node.self.Node] = index, index
}

// paceFactor returns by how much the work of the target beside a node takes longer than that
// of most targets. The slow ones are spread over all nodes.
func (e *Emulator) paceFactor(index int) float64 {
	slow := e.scenario.SlowTargets
	if share := float64(slow.Share); int(float64(index+1)*share) > int(float64(index)*share) {
		return slow.Factor
	}
	return 1
}

// stepNodes runs a tick of each core that is due and applies its effects.
func (e *Emulator) stepNodes() {
	for _, node := range e.nodes {
		if !node.due.Reached(e.now) {
			continue
		}
		inbox := node.inbox
		node.inbox = carobinbox.Inbox{}
		outbox := node.core.Tick(e.now, inbox)
		node.due = node.core.Wake()
		if node.due.Reached(e.now) {
			node.due = e.now.Add(1)
		}
		e.applyEffects(node, outbox)
	}
}

// applyEffects emulates the traffic goroutines, which carry out the effects of a tick.
func (e *Emulator) applyEffects(node *node, outbox *caroboutbox.Outbox) {
	for i := range outbox.Reports {
		node.report = &outbox.Reports[i]
	}
	for _, message := range outbox.Messages {
		if receiver, ok := e.nodeByAddress[message.To]; ok {
			e.enqueueInput(receiver, e.networkDelay(node.index, receiver), func(inbox *carobinbox.Inbox) { inbox.Messages = append(inbox.Messages, message) })
		}
	}
	for _, send := range outbox.Sends {
		e.sendAttempt(node, send)
	}
	for _, refusal := range outbox.Refusals {
		e.sendReply(node, refusal.Job, node.target.id, refusal.Kind, 0)
	}
	for _, start := range outbox.Starts {
		e.startJob(node, start)
	}
	for range outbox.HealthChecks {
		health := carobcheckresult.CheckResult{Target: node.target.id, TargetLoad: e.targetLoad(node)}
		e.enqueueInput(node.index, healthCheckTime, func(inbox *carobinbox.Inbox) { inbox.CheckResults = append(inbox.CheckResults, health) })
	}
	for _, id := range outbox.Cancels {
		e.cancelAttempt(node, id)
	}
	for _, conclusion := range outbox.Conclusions {
		e.handleConclusion(node, conclusion)
	}
}

// sendAttempt sends an attempt to the target's node.
func (e *Emulator) sendAttempt(node *node, send carobsend.Send) {
	receiver := node.index
	if send.PeerAddress != "" {
		receiver = e.nodeByAddress[send.PeerAddress]
	}
	node.openAttempts[send.Job] = receiver
	offer := caroboffer.Offer{Job: send.Job, Target: send.Target, Incarnation: send.Incarnation, TimeLeft: send.TimeLeft, Requirements: send.Requirements}
	e.enqueueInput(receiver, e.networkDelay(node.index, receiver), func(inbox *carobinbox.Inbox) { inbox.Offers = append(inbox.Offers, offer) })
}

// sendReply sends the response or the refusal of an attempt from the target's node to
// the entry node.
func (e *Emulator) sendReply(node *node, id carobjobid.ID, target carobtargetid.ID, kind carobkind.Kind, status int) {
	receiver := e.nodeByID[id.Call.Node]
	reply := carobattemptreply.AttemptReply{Job: id, Target: target, Kind: kind, Status: status, Report: node.report}
	e.enqueueInput(receiver, e.networkDelay(node.index, receiver), func(inbox *carobinbox.Inbox) {
		delete(e.nodes[receiver].openAttempts, id)
		e.nodes[receiver].statuses[id] = status
		inbox.AttemptReplies = append(inbox.AttemptReplies, reply)
	})
}

// cancelAttempt cancels an open attempt at the node that it was sent to.
func (e *Emulator) cancelAttempt(node *node, id carobjobid.ID) {
	receiver, ok := node.openAttempts[id]
	if !ok {
		return
	}
	delete(node.openAttempts, id)
	e.enqueueInput(receiver, e.networkDelay(node.index, receiver), func(inbox *carobinbox.Inbox) {
		e.stopJob(id)
		inbox.Finishes = append(inbox.Finishes, carobfinish.Finish{Job: id, Kind: carobkind.Cancelled})
	})
}
