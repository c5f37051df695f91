// Package carobemulator plays a scenario in virtual time: callers, the decisions of
// many nodes, the network between them, and targets whose VMs turn slow. What the
// nodes decide is what real ones decide; only traffic is emulated. The same seed
// gives the same run.
package carobemulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/internal/carobscenario"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobschedule"
	"github.com/carobknot/carobknot/pkg/carobtable"
)

// Config is how an emulator is made.
type Config struct {
	Scenario carobscenario.Scenario
	Seed     uint64
}

// Emulator is the deployment at one instant. Its entities stand in tables, and
// systems run over those that are due, one instant after the other.
type Emulator struct {
	scenario carobscenario.Scenario
	random   *rand.Rand
	now      carobinstant.Instant
	// nodes has a node beside each target.
	nodes []*node
	// places finds nodes by their addresses, and homes by their names.
	places map[carobaddress.Address]int
	homes  map[carobnodeid.ID]int
	routes *carobroutetable.RouteTable
	// sources are when the next call of each kind comes from outside.
	sources *carobschedule.Schedule[int]
	// letters are on their way to nodes; mail has when they arrive.
	letters *carobtable.Table[uint64, letter]
	mail    *carobschedule.Schedule[uint64]
	// visits are the calls that callers wait for; returns has when callers come back
	// that were refused.
	visits  *carobtable.Table[uint64, visit]
	returns *carobschedule.Schedule[uint64]
	// jobs run at targets; work has when their next step is due.
	jobs *carobtable.Table[carobjobid.ID, job]
	work *carobschedule.Schedule[carobjobid.ID]
	// count numbers letters and visits.
	count     uint64
	summaries []*carobsummary.Summary
}

// letter is something on its way to a node.
type letter struct {
	to  int
	put func(in *carobinbox.Inbox)
}

const (
	// begin is any instant that is not Never.
	begin = carobinstant.Instant(time.Hour)
	// warmUp is how long nodes have to find each other before callers come.
	warmUp = 3 * time.Second
	// rows is more than any table gets here.
	rows = 1 << 20
)

// NewEmulator returns a deployment whose nodes have just started.
func NewEmulator(c Config) (*Emulator, error) {
	const stream = 1
	e := &Emulator{
		scenario: c.Scenario, random: rand.New(rand.NewPCG(c.Seed, stream)), //nolint:gosec // a run must repeat under a seed
		now: begin, places: map[carobaddress.Address]int{}, homes: map[carobnodeid.ID]int{},
		sources: carobschedule.NewSchedule[int](),
		letters: carobtable.NewTable[uint64, letter](carobtable.Config{Limit: rows}), mail: carobschedule.NewSchedule[uint64](),
		visits: carobtable.NewTable[uint64, visit](carobtable.Config{Limit: rows}), returns: carobschedule.NewSchedule[uint64](),
		jobs: carobtable.NewTable[carobjobid.ID, job](carobtable.Config{Limit: rows}), work: carobschedule.NewSchedule[carobjobid.ID](),
	}
	var routes []carobroute.Route
	for i := range e.scenario.Kinds {
		kd := &e.scenario.Kinds[i]
		e.summaries = append(e.summaries, carobsummary.NewSummary(carobsummary.Config{Name: string(kd.Name), Deadline: kd.SLO.Duration()}))
		routes = append(routes, route(c.Scenario, i))
		if kd.Rate > 0 {
			e.sources.Set(i, begin.Add(warmUp).Add(e.gap(kd.Rate)))
		}
	}
	var err error
	if e.routes, err = carobroutetable.NewRouteTable(1, routes); err != nil {
		return nil, err
	}
	e.addNodes()
	return e, nil
}

// Run plays for a while after the nodes have found each other, and returns what
// callers saw, a summary a kind. Calls that are under way at its end are not counted.
func (e *Emulator) Run(d time.Duration) []*carobsummary.Summary {
	end := begin.Add(warmUp).Add(d)
	for next := e.next(); next.Reached(end); next = e.next() {
		e.now = max(e.now, next)
		e.arrive()
		e.comeBack()
		e.deliver()
		e.runJobs()
		e.stepNodes()
	}
	for _, sm := range e.summaries {
		sm.Close(d)
	}
	return e.summaries
}

// next returns the instant at which something is due.
func (e *Emulator) next() carobinstant.Instant {
	at := carobinstant.Earlier(e.sources.NextDue(), e.returns.NextDue())
	at = carobinstant.Earlier(at, carobinstant.Earlier(e.mail.NextDue(), e.work.NextDue()))
	for _, n := range e.nodes {
		at = carobinstant.Earlier(at, n.due)
	}
	return at
}

// post has something put into a node's inbox after a while.
func (e *Emulator) post(to int, after time.Duration, put func(in *carobinbox.Inbox)) {
	e.count++
	e.letters.Put(e.count, letter{to: to, put: put})
	e.mail.Set(e.count, e.now.Add(after))
}

// deliver puts the letters that are due into inboxes.
func (e *Emulator) deliver() {
	for id, ok := e.mail.Pop(e.now); ok; id, ok = e.mail.Pop(e.now) {
		lt := e.letters.Get(id)
		lt.put(&e.nodes[lt.to].inbox)
		e.nodes[lt.to].due = e.now
		e.letters.Delete(id)
	}
}

// hop returns how long a message takes from one VM to another.
func (e *Emulator) hop(from, to int) time.Duration {
	switch {
	case from == to:
		return 0
	case e.nodes[from].self.Centre != e.nodes[to].self.Centre:
		return e.scenario.Far.Duration()
	default:
		return e.scenario.Hop.Duration()
	}
}

// gap returns the time to the next of so many events a second.
func (e *Emulator) gap(rate float64) time.Duration {
	return time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
}

// route is the route of a kind's calls, which have a host of their own.
func route(sc carobscenario.Scenario, i int) carobroute.Route {
	kd := &sc.Kinds[i]
	return carobroute.Route{
		Name: kd.Name, Host: host(i), Prefix: "/", Guarantee: kd.Once, Attempts: tries, Timeout: kd.Timeout, SLO: kd.SLO,
		Priority: kd.Rank, WeightedServices: parts(kd.Service),
	}
}

func host(i int) string {
	return fmt.Sprintf("kind-%d.example", i)
}
