package fuzz

import (
	"time"

	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobservicerule"
)

const (
	// coldRate is the number of calls a second that a cold target takes.
	coldRate = 4
	// maxColdStarts is the number of calls that may start at a cold target in any second.
	maxColdStarts = 1.5*coldRate + 8
	// coldWindow is the time over which the starts at a cold target are counted.
	coldWindow = time.Second
	// maxTableDelay is the longest time after which a node that has started gets the route table.
	maxTableDelay = 10 * time.Millisecond
)

// coldState is what a target that may be cold knows of itself.
type coldState struct {
	// incarnation and sequence are those of the newest announcement; 0 if announcements
	// have none.
	incarnation, sequence uint64
	// from is when the target became cold, and end when it will be warm.
	from, end time.Duration
	// since is the sequence from which on announcements say that the target is cold.
	since uint64
	// known is true once the target's node has had such an announcement, or has started
	// beside the cold target.
	known bool
}

// coldLeft returns how much longer the target is cold; 0 if it is warm.
func (t *fakeTarget) coldLeft() time.Duration {
	return max(0, t.cold.end-t.sim.elapsed())
}

// setCold makes the target cold for some time. A target that restarts has a new incarnation.
func (t *fakeTarget) setCold(duration time.Duration, restarts bool) {
	if restarts {
		t.cold = coldState{incarnation: t.cold.incarnation + 1}
		delete(t.sim.oracle.starts, t.id.String())
	}
	t.cold.from, t.cold.end = t.sim.elapsed(), t.sim.elapsed()+duration
	t.cold.since, t.cold.known = t.cold.sequence+1, false
}

// learn records that an announcement has reached the target's node, and reports whether it is
// newer than all that have reached it before.
func (t *fakeTarget) learn(announcement carobannouncement.Announcement) bool {
	incarnation := uint64(announcement.Incarnation)
	if incarnation == t.cold.incarnation && announcement.Sequence >= t.cold.since {
		t.cold.known = true
	}
	if incarnation < t.learned.incarnation || incarnation == t.learned.incarnation && announcement.Sequence <= t.learned.sequence {
		return false
	}
	t.learned = coldState{incarnation: incarnation, sequence: announcement.Sequence}
	return true
}

// deliverTable gives a node that has just started the route table, and records that it must
// take its targets for cold.
func (n *node) deliverTable() {
	table := &carobroutetable.RouteTable{Version: 1, Routes: []carobroute.Route{}}
	for _, target := range n.sim.targets {
		if target.place == n.place {
			if !target.cold.known && target.coldLeft() > 0 {
				// The node before could not know yet.
				target.cold.known, target.cold.from = true, n.startedAt
			}
		}
	}
	for _, service := range services {
		table.ServiceRules = append(table.ServiceRules, carobservicerule.ServiceRule{Service: service.name, ColdRate: coldRate})
	}
	if err := table.Check(); err != nil {
		panic(err)
	}
	n.after(time.Duration(n.sim.random.Int64N(int64(maxTableDelay))), func() {
		n.enqueue(func(in *carobinbox.Inbox) { in.RouteTables = append(in.RouteTables, table) })
	})
}

// coldActions make targets cold under load, with an announcement at once or later.
func coldActions(sim *simulation) map[string]func(*rapid.T) {
	get := func(restarts bool) func(t *rapid.T) {
		return func(t *rapid.T) {
			target := sim.targets[rapid.IntRange(0, len(sim.targets)-1).Draw(t, "target")]
			target.setCold(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths"))*100*time.Millisecond, restarts)
			if restarts || rapid.Bool().Draw(t, "at once") {
				target.announce()
			}
		}
	}
	return map[string]func(*rapid.T){
		"get cold":       get(false),
		"restart target": get(true),
		"call in bulk": func(t *rapid.T) {
			const calls, interval = 60, 5 * time.Millisecond
			n := drawRunningNode(t, sim)
			service := rapid.IntRange(0, 1).Draw(t, "service")
			for i := range calls {
				n.after(time.Duration(i)*interval, func() { n.startCall(service, "", 0) })
			}
			sim.advance(calls * interval)
		},
	}
}

// startedCold checks the start of a job at a target that may be cold. Starts before since do not
// count: the target was not cold then, and its node had not started.
func (o *oracle) startedCold(target string, cold bool, now, since time.Duration) {
	recent := append(o.starts[target], now)
	for now-recent[0] >= coldWindow {
		recent = recent[1:]
	}
	o.starts[target] = recent
	count := 0
	for _, at := range recent {
		if at >= since {
			count++
		}
	}
	if cold && count > maxColdStarts {
		o.recordViolation("%d jobs start at cold target %s within %s, at %s", count, target, coldWindow, now)
	}
}
