// Package carobemulator simulates a scenario in virtual time: callers, the decisions
// of many nodes, the network between them, and targets on VMs with noisy neighbours.
// Decisions are made by the same core that runs in real nodes; only traffic is
// emulated. The same seed gives the same run.
package carobemulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/internal/carobscenario"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/internal/carobtally"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobschedule"
	"github.com/carobknot/carobknot/pkg/carobtable"
)

// Config holds the settings of an emulator.
type Config struct {
	Scenario carobscenario.Scenario
	// Seed seeds all random numbers of a run.
	Seed uint64
	// AdmissionOrder is the name of the order of jobs at targets; empty for the usual one.
	AdmissionOrder string
}

// Emulator is the state of an emulated deployment at one instant. Its entities are
// rows of tables, and at each instant the systems run over the rows that are due.
type Emulator struct {
	scenario       carobscenario.Scenario
	admissionOrder string
	random         *rand.Rand
	now            carobinstant.Instant
	// nodes has one node for each target.
	nodes []*node
	// nodeByAddress and nodeByID hold indexes into nodes.
	nodeByAddress map[carobaddress.Address]int
	nodeByID      map[carobnodeid.ID]int
	routes        *carobroutetable.RouteTable
	// arrivalSchedule holds when the next request of each call kind comes from outside.
	arrivalSchedule *carobschedule.Schedule[int]
	// inputs are in transit to nodes; inputSchedule holds when they arrive.
	inputs        *carobtable.Table[uint64, input]
	inputSchedule *carobschedule.Schedule[uint64]
	// requests are those that callers wait for; retrySchedule holds when the next
	// call of a failed request is sent.
	requests      *carobtable.Table[uint64, request]
	retrySchedule *carobschedule.Schedule[uint64]
	// jobs run at targets; jobSchedule holds when their next step is due.
	jobs        *carobtable.Table[carobjobid.ID, job]
	jobSchedule *carobschedule.Schedule[carobjobid.ID]
	// lastNumber is the number given to the newest input or request.
	lastNumber uint64
	// summaries has one summary for each call kind.
	summaries []*carobsummary.Summary
	// tallies has a tally for each call kind and organisation that made requests.
	tallies map[tallyKey]carobtally.Tally
}

// tallyKey is the index of a call kind and that of an organisation; the latter is noOrganisation
// for requests without one.
type tallyKey struct{ callKind, organisation int }

// Tally returns what the callers of a kind got that belong to an organisation. An empty name
// stands for all kinds, and for all organisations.
func (e *Emulator) Tally(kind carobname.Name, organisation caroborganisationid.ID) carobtally.Tally {
	var sum carobtally.Tally
	for key, tally := range e.tallies {
		if kind != "" && e.scenario.CallKinds[key.callKind].Name != kind {
			continue
		}
		if organisation == "" || key.organisation != noOrganisation && e.scenario.Organisations[key.organisation].Name == organisation {
			sum = sum.Plus(tally)
		}
	}
	return sum
}

// input is in transit to a node; apply adds it to the node's inbox.
type input struct {
	node  int
	apply func(in *carobinbox.Inbox)
}

const (
	// startTime is when the run starts: any instant other than Never.
	startTime = carobinstant.Instant(time.Hour)
	// warmUp is the time that nodes have to discover each other before the first
	// request.
	warmUp = 3 * time.Second
	// maxRows is the limit of each table, above the number of rows that a run holds.
	maxRows = 1 << 20
)

// NewEmulator returns a deployment whose nodes have just started, or an error if
// the scenario's routes are invalid.
func NewEmulator(c Config) (*Emulator, error) {
	const stream = 1
	e := &Emulator{
		scenario: c.Scenario, admissionOrder: c.AdmissionOrder, tallies: map[tallyKey]carobtally.Tally{}, random: rand.New(rand.NewPCG(c.Seed, stream)), //nolint:gosec // a run must repeat under a seed
		now: startTime, nodeByAddress: map[carobaddress.Address]int{}, nodeByID: map[carobnodeid.ID]int{},
		arrivalSchedule: carobschedule.NewSchedule[int](),
		inputs:          carobtable.NewTable[uint64, input](carobtable.Config{Limit: maxRows}), inputSchedule: carobschedule.NewSchedule[uint64](),
		requests: carobtable.NewTable[uint64, request](carobtable.Config{Limit: maxRows}), retrySchedule: carobschedule.NewSchedule[uint64](),
		jobs: carobtable.NewTable[carobjobid.ID, job](carobtable.Config{Limit: maxRows}), jobSchedule: carobschedule.NewSchedule[carobjobid.ID](),
	}
	var routes []carobroute.Route
	for i := range e.scenario.CallKinds {
		callKind := &e.scenario.CallKinds[i]
		e.summaries = append(e.summaries, carobsummary.NewSummary(carobsummary.Config{Name: string(callKind.Name), Deadline: callKind.SLO.Duration()}))
		routes = append(routes, route(c.Scenario, i))
		if callKind.Rate > 0 {
			e.arrivalSchedule.Set(i, startTime.Add(warmUp).Add(e.randomInterval(callKind.Rate)))
		}
	}
	e.routes = &carobroutetable.RouteTable{Version: 1, Routes: routes, RequiresKey: len(e.scenario.Organisations) > 0}
	for _, organisation := range e.scenario.Organisations {
		e.routes.Organisations = append(e.routes.Organisations, caroborganisation.Organisation{
			ID: organisation.Name, Priority: organisation.Priority, Keys: []carobkeydigest.Digest{carobkeydigest.Of([]byte(organisation.Name))},
		})
	}
	if err := e.routes.Check(); err != nil {
		return nil, err
	}
	e.addNodes()
	return e, nil
}

// Run simulates the warm-up and then the given duration, and returns one summary for
// each call kind of the scenario. Requests in progress at the end are not counted.
func (e *Emulator) Run(duration time.Duration) []*carobsummary.Summary {
	end := startTime.Add(warmUp).Add(duration)
	for next := e.nextInstant(); next.Reached(end); next = e.nextInstant() {
		e.now = max(e.now, next)
		e.addArrivals()
		e.retryRequests()
		e.deliverInputs()
		e.runJobs()
		e.stepNodes()
	}
	for _, summary := range e.summaries {
		summary.Close(duration)
	}
	return e.summaries
}

// nextInstant returns the earliest instant at which any row is due.
func (e *Emulator) nextInstant() carobinstant.Instant {
	instant := carobinstant.Earlier(e.arrivalSchedule.NextDue(), e.retrySchedule.NextDue())
	instant = carobinstant.Earlier(instant, carobinstant.Earlier(e.inputSchedule.NextDue(), e.jobSchedule.NextDue()))
	for _, node := range e.nodes {
		instant = carobinstant.Earlier(instant, node.due)
	}
	return instant
}

// enqueueInput has an input added to a node's inbox after a delay.
func (e *Emulator) enqueueInput(nodeIndex int, delay time.Duration, apply func(in *carobinbox.Inbox)) {
	e.lastNumber++
	e.inputs.Put(e.lastNumber, input{node: nodeIndex, apply: apply})
	e.inputSchedule.Set(e.lastNumber, e.now.Add(delay))
}

// deliverInputs adds the inputs that are due to the inboxes of their nodes.
func (e *Emulator) deliverInputs() {
	for id, ok := e.inputSchedule.Pop(e.now); ok; id, ok = e.inputSchedule.Pop(e.now) {
		input := e.inputs.Get(id)
		input.apply(&e.nodes[input.node].inbox)
		e.nodes[input.node].due = e.now
		e.inputs.Delete(id)
	}
}

// networkDelay returns how long a message takes from the VM of one node to that of
// another.
func (e *Emulator) networkDelay(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case e.nodes[from].self.Centre != e.nodes[to].self.Centre:
		return e.scenario.RemoteDelay.Duration()
	default:
		return e.scenario.LocalDelay.Duration()
	}
}

// randomInterval draws the time to the next event of a Poisson process with the
// given rate per second.
func (e *Emulator) randomInterval(rate float64) time.Duration {
	return time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
}

// route returns the route of the call kind with index i. Each has its own host.
func route(scenario carobscenario.Scenario, i int) carobroute.Route {
	callKind := &scenario.CallKinds[i]
	return carobroute.Route{
		Name: callKind.Name, Host: host(i), Prefix: "/", Guarantee: callKind.Guarantee, Attempts: maxTries, Timeout: callKind.Timeout, SLO: callKind.SLO,
		Priority: callKind.Priority, Anonymous: callKind.Rate == 0, WeightedServices: weightedServices(callKind.Service),
	}
}

func host(i int) string {
	return fmt.Sprintf("kind-%d.example", i)
}
