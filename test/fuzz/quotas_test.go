package fuzz

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// quotaLimit is the limit of an organisation, as the oracle knows it.
type quotaLimit struct{ rate, burst float64 }

// The bound that the oracle checks, as the page of the task has it.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// bound returns how many calls may start in a window.
func (l quotaLimit) bound() float64 {
	return (l.rate*quotaWindow.Seconds()+l.burst)*(1+quotaOverage) + quotaSlack
}

// quotaCaller is the load of one organisation.
type quotaCaller struct {
	name string
	// demand is the number of calls a second, which go to the nodes at these places in turn.
	demand float64
	places []int
	next   int
	// counts has the calls by how they ended, and started the calls that started at targets.
	calls, started, refused, notReady int
	// starts has when calls started, the oldest first.
	starts []time.Duration
	// worst is the largest number of starts in a window, relative to the bound.
	worst float64
}

// quotaLoad sends the calls of organisations and checks their quotas.
type quotaLoad struct {
	sim     *simulation
	callers []*quotaCaller
	// versions has the limits of each version of the route table, by organisation, and lastSeen
	// when a node last had the version in force.
	versions map[carobrouteversion.Version]map[string]quotaLimit
	lastSeen map[carobrouteversion.Version]time.Duration
	version  carobrouteversion.Version
	// open has the organisation of each call, until it has started.
	open map[carobcallid.ID]*quotaCaller
	// quotaMessages and quotaBytes are what was sent for quotas, by place.
	quotaMessages, quotaBytes map[int]int
	granted                   int
}

func newQuotaLoad(sim *simulation) *quotaLoad {
	load := &quotaLoad{
		sim: sim, versions: map[carobrouteversion.Version]map[string]quotaLimit{}, lastSeen: map[carobrouteversion.Version]time.Duration{},
		open: map[carobcallid.ID]*quotaCaller{}, quotaMessages: map[int]int{}, quotaBytes: map[int]int{},
	}
	sim.quotas = load
	return load
}

// publish puts a new route table in force at a place, from where it spreads.
func (l *quotaLoad) publish(place int, limits map[string]quotaLimit) {
	l.version++
	table := &carobroutetable.RouteTable{Version: l.version, RequiresKey: true}
	for _, caller := range l.callers {
		limit := limits[caller.name]
		table.Organisations = append(table.Organisations, caroborganisation.Organisation{
			ID: caroborganisationid.ID(caller.name), Keys: []carobkeydigest.Digest{carobkeydigest.Of([]byte(caller.name))},
			Rate: carobcallrate.CallRate(limit.rate), Burst: limit.burst,
		})
	}
	if err := table.Check(); err != nil {
		panic(err)
	}
	l.versions[l.version] = limits
	l.lastSeen[l.version] = l.sim.elapsed()
	n := l.sim.nodes[place]
	n.after(0, func() {
		n.enqueue(func(in *carobinbox.Inbox) { in.RouteTables = append(in.RouteTables, table) })
	})
}

// addCaller starts the load of an organisation.
func (l *quotaLoad) addCaller(name string, demand float64, places []int) *quotaCaller {
	caller := &quotaCaller{name: name, demand: demand, places: places}
	l.callers = append(l.callers, caller)
	l.sim.after(0, func() { l.sendNext(caller) })
	return caller
}

// sendNext sends a call and schedules the next one, at random intervals.
func (l *quotaLoad) sendNext(caller *quotaCaller) {
	if caller.demand > 0 && len(caller.places) > 0 {
		caller.next = l.sim.random.IntN(len(caller.places))
		n := l.sim.nodes[caller.places[caller.next]]
		if n.alive && !n.frozen && n.core.World().RouteTable != nil {
			caller.calls++
			credential := carobcredential.Credential{Key: carobkeydigest.Of([]byte(caller.name)), Valid: true}
			l.open[n.startCallWith(0, "", 0, credential)] = caller
		}
	}
	mean := time.Second
	if caller.demand > 0 {
		mean = time.Duration(float64(time.Second) / caller.demand)
	}
	l.sim.after(time.Duration(l.sim.random.ExpFloat64()*float64(mean)), func() { l.sendNext(caller) })
}

// observe reports the effects of a tick to the oracle.
func (l *quotaLoad) observe(n *node, out *caroboutbox.Outbox) {
	if l == nil {
		return
	}
	l.granted += out.QuotaTokens
	for _, start := range out.Starts {
		if caller := l.open[start.Job.Call]; caller != nil {
			delete(l.open, start.Job.Call)
			l.started(caller)
		}
	}
	for _, message := range out.Messages {
		if message.QuotaRequest == nil && message.QuotaReply == nil {
			continue
		}
		data, err := l.sim.codec.Marshal(message)
		if err != nil {
			l.sim.oracle.recordViolation("quota message cannot be encoded: %v", err)
		}
		l.quotaMessages[n.place]++
		l.quotaBytes[n.place] += len(data)
	}
}

// started checks the number of starts in the window that ends now.
func (l *quotaLoad) started(caller *quotaCaller) {
	now := l.sim.elapsed()
	caller.started++
	caller.starts = append(caller.starts, now)
	for caller.starts[0] <= now-quotaWindow {
		caller.starts = caller.starts[1:]
	}
	for _, n := range l.sim.nodes {
		if n.alive {
			l.lastSeen[n.core.World().RoutesVersion()] = now
		}
	}
	allowed := 0.0
	for version, seen := range l.lastSeen {
		if limits, known := l.versions[version]; known && seen > now-quotaWindow {
			limit := limits[caller.name]
			if limit.rate == 0 {
				return
			}
			allowed = max(allowed, limit.bound())
		}
	}
	caller.worst = max(caller.worst, float64(len(caller.starts))/allowed)
	if float64(len(caller.starts)) > allowed {
		l.sim.oracle.recordViolation("%d calls of %s start within %s, %.1f are allowed", len(caller.starts), caller.name, quotaWindow, allowed)
	}
}

// concluded counts the calls that were refused for lack of tokens.
func (l *quotaLoad) concluded(id carobcallid.ID, kind carobkind.Kind) {
	if l == nil {
		return
	}
	caller := l.open[id]
	if caller == nil {
		return
	}
	delete(l.open, id)
	switch kind {
	case carobkind.Quota:
		caller.refused++
	case carobkind.NotReady:
		caller.notReady++
	default:
	}
}

// reset forgets the counts, but not what the oracle needs.
func (l *quotaLoad) reset() {
	for _, caller := range l.callers {
		caller.calls, caller.started, caller.refused, caller.notReady = 0, 0, 0, 0
	}
	l.quotaMessages, l.quotaBytes, l.granted = map[int]int{}, map[int]int{}, 0
}

// places returns the first n places.
func places(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Guards against quotas of which only a part can be used, because the tokens are at nodes that do
// not need them or because a call comes to another node than those before it. At 60% of the
// quota few calls may be refused, and at seven times the quota nearly all of it must be used.
func TestQuotasAreUsable(t *testing.T) {
	const nodes = 64
	for _, c := range []struct {
		name   string
		limit  quotaLimit
		places []int
	}{
		{"small quota, all nodes", quotaLimit{5, 5}, places(nodes)},
		{"small quota, one node", quotaLimit{5, 5}, places(1)},
		{"large quota, all nodes", quotaLimit{186, 40}, places(nodes)},
		{"large quota, one node", quotaLimit{186, 40}, []int{nodes - 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, nodes, plan{})
			load := newQuotaLoad(sim)
			caller := load.addCaller("clinic", 0, c.places)
			sim.advance(time.Second)
			load.publish(0, map[string]quotaLimit{"clinic": c.limit})
			sim.advance(9 * time.Second)
			caller.demand = 0.6 * c.limit.rate
			sim.advance(2 * time.Second)
			load.reset()
			const duration = 20 * time.Second
			sim.advance(duration)
			t.Logf("at 60%%: %d calls, %d started, %d refused, %d not ready %v", caller.calls, caller.started, caller.refused, caller.notReady, sim.kinds)
			require.LessOrEqual(t, caller.refused+caller.notReady, max(1, caller.calls*3/1000))
			caller.demand = 7 * c.limit.rate
			sim.advance(2 * time.Second)
			load.reset()
			sim.advance(duration)
			used := float64(caller.started) / (c.limit.rate * duration.Seconds())
			t.Logf("at 7 times: %d calls, %d started, %d refused, %d not ready, %.3f used, %.3f of the bound", caller.calls, caller.started, caller.refused, caller.notReady, used, caller.worst)
			require.GreaterOrEqual(t, used, 0.9)
			require.LessOrEqual(t, caller.notReady, caller.calls/1000)
			require.Empty(t, sim.oracle.violation)
		})
	}
}

// Guards against organisations that get no more calls through after the allocator has gone, or for
// longer than the leases last. The calls of the time until then are refused as not ready.
func TestQuotasAreUsableAfterTheAllocatorHasGone(t *testing.T) {
	for _, c := range []struct {
		name string
		// lost is the share of the calls of the first 4 s that may be refused.
		lost float64
		end  func(sim *simulation, allocator *node)
	}{
		{"killed", 0.5, func(_ *simulation, allocator *node) { allocator.kill() }},
		{"stopped", 0.05, func(_ *simulation, allocator *node) { allocator.stop() }},
		{"frozen", 0.5, func(_ *simulation, allocator *node) { allocator.freeze() }},
		{"cut off", 0.5, func(sim *simulation, allocator *node) { cutOff(sim, allocator.place, linkBlackhole) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			const nodes = 16
			sim := newSimulation(1, nodes, plan{})
			load := newQuotaLoad(sim)
			caller := load.addCaller("clinic", 0, places(nodes)[1:])
			sim.advance(time.Second)
			load.publish(0, map[string]quotaLimit{"clinic": {100, 20}})
			sim.advance(9 * time.Second)
			caller.demand = 60
			sim.advance(2 * time.Second)
			var allocators []*node
			for _, n := range sim.nodes {
				if n.core.World().Self.Allocates {
					allocators = append(allocators, n)
				}
			}
			require.Len(t, allocators, 1, "all nodes choose the same allocator")
			caller.places = slices.DeleteFunc(places(nodes), func(place int) bool { return place == allocators[0].place })
			c.end(sim, allocators[0])
			load.reset()
			sim.advance(4 * time.Second)
			t.Logf("within 4 s: %d calls, %d started, %d refused, %d not ready", caller.calls, caller.started, caller.refused, caller.notReady)
			require.LessOrEqual(t, float64(caller.refused+caller.notReady), c.lost*float64(caller.calls))
			load.reset()
			sim.advance(5 * time.Second)
			t.Logf("after that: %d calls, %d started, %d refused, %d not ready", caller.calls, caller.started, caller.refused, caller.notReady)
			require.LessOrEqual(t, caller.refused+caller.notReady, caller.calls/100)
			mendAll(sim)
			load.reset()
			sim.advance(5 * time.Second)
			t.Logf("within 5 s of its return: %d calls, %d started, %d refused, %d not ready", caller.calls, caller.started, caller.refused, caller.notReady)
			require.LessOrEqual(t, caller.refused+caller.notReady, caller.calls/20, "a change of allocator leaves no gap")
			load.reset()
			sim.advance(10 * time.Second)
			require.LessOrEqual(t, caller.refused+caller.notReady, caller.calls*3/1000)
			require.Empty(t, sim.oracle.violation)
		})
	}
}

// Guards against quotas that are exceeded in a large fleet when an organisation begins to call at the
// same time as something fails: all buckets are full then, and shares move between allocators.
func TestQuotasHoldWhenAFullBucketIsUsedDuringAFault(t *testing.T) {
	const nodes = 64
	for _, c := range []struct {
		name  string
		fault func(sim *simulation)
	}{
		{"none", func(*simulation) {}},
		{"split in half", func(sim *simulation) { split(sim, nodes/2) }},
		{"a fifth is cut off", func(sim *simulation) {
			for place := range nodes / 5 {
				cutOff(sim, place*5, linkBlackhole)
			}
		}},
		{"a third is replaced, the allocator too", func(sim *simulation) {
			for place := range nodes / 3 {
				sim.startNode(place * 3)
			}
		}},
		{"all are replaced at once", func(sim *simulation) {
			for place := range nodes {
				sim.startNode(place)
			}
			sim.quotas.publish(0, sim.quotas.versions[sim.quotas.version])
		}},
		{"half are paused", func(sim *simulation) {
			for place := range nodes / 2 {
				n := sim.nodes[2*place]
				n.freeze()
				sim.after(1500*time.Millisecond, n.thaw)
			}
		}},
		{"the limit is lowered", func(sim *simulation) {
			sim.quotas.publish(nodes/2, map[string]quotaLimit{"clinic": {40, 10}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, nodes, plan{})
			load := newQuotaLoad(sim)
			caller := load.addCaller("clinic", 0, places(nodes))
			limits := map[string]quotaLimit{"clinic": {100, 60}}
			for place := range nodes {
				load.publish(place, limits)
			}
			sim.advance(15 * time.Second)
			caller.demand = 700
			sim.advance(300 * time.Millisecond)
			c.fault(sim)
			sim.advance(12 * time.Second)
			mendAll(sim)
			sim.advance(8 * time.Second)
			t.Logf("%d calls, %d started, %d refused, %d not ready, %.3f of the bound", caller.calls, caller.started, caller.refused, caller.notReady, caller.worst)
			require.Empty(t, sim.oracle.violation)
		})
	}
}

// split cuts the places below a border off from the others.
func split(sim *simulation, border int) {
	for a := range border {
		for b := border; b < len(sim.nodes); b++ {
			sim.setLink(link{a, b}, linkBlackhole)
			sim.setLink(link{b, a}, linkBlackhole)
		}
	}
}

// cutOff cuts a place off from all others.
func cutOff(sim *simulation, place int, state linkState) {
	for other := range sim.nodes {
		if other != place {
			sim.setLink(link{place, other}, state)
			sim.setLink(link{other, place}, state)
		}
	}
}

// quotaActions returns the faults that quotas are tested with.
func quotaActions(sim *simulation, load *quotaLoad) map[string]func(*rapid.T) {
	all := actions(sim)
	selected := map[string]func(*rapid.T){}
	for _, name := range []string{
		"", "wait a little", "wait", "fault a link", "mend links", "disturb messages", "freeze", "thaw", "kill", "replace", "stop", "restart stopped", "log out", "log back",
	} {
		selected[name] = all[name]
	}
	place := rapid.IntRange(0, len(sim.nodes)-1)
	selected["cut a node off"] = func(t *rapid.T) {
		cutOff(sim, place.Draw(t, "place"), rapid.SampledFrom([]linkState{linkReset, linkBlackhole}).Draw(t, "state"))
	}
	selected["split"] = func(t *rapid.T) {
		split(sim, place.Draw(t, "border"))
	}
	selected["skew callers"] = func(t *rapid.T) {
		for _, caller := range load.callers {
			caller.places = rapid.SliceOfN(place, 1, len(sim.nodes)).Draw(t, "places")
			limit := load.versions[load.version][caller.name]
			caller.demand = limit.rate * rapid.SampledFrom([]float64{0, 0.6, 7}).Draw(t, "load")
		}
	}
	selected["change limits"] = func(t *rapid.T) {
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			load.publish(place.Draw(t, "place"), drawLimits(t, load))
			sim.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		}
	}
	selected["mend all"] = func(*rapid.T) { mendAll(sim) }
	for name, action := range selected {
		if name == "" {
			continue
		}
		selected[name] = func(t *rapid.T) {
			action(t)
			sim.advance(time.Duration(rapid.SampledFrom([]int{10, 100, 1000, 3000}).Draw(t, "ms")) * time.Millisecond)
		}
	}
	return selected
}

// mendAll ends the faults of nodes, links and the log.
func mendAll(sim *simulation) {
	for faulty := range sim.links { // the order does not matter, as in networkActions
		sim.setLink(faulty, linkUp)
	}
	sim.lossRate, sim.duplicateRate, sim.maxExtraDelay, sim.log.unavailable = 0, 0, 0, false
	for place, n := range sim.nodes {
		switch {
		case !n.alive:
			sim.startNode(place)
		case n.frozen:
			n.thaw()
		}
	}
}

func drawLimits(t *rapid.T, load *quotaLoad) map[string]quotaLimit {
	limits := map[string]quotaLimit{}
	for _, caller := range load.callers {
		limits[caller.name] = quotaLimit{
			rate:  rapid.SampledFrom([]float64{5, 20, 40}).Draw(t, "rate"),
			burst: rapid.SampledFrom([]float64{0, 5, 40}).Draw(t, "burst"),
		}
	}
	return limits
}

// runQuotaSimulation runs actions that rapid draws on a fleet with two organisations, all of whose
// nodes start at once. It returns how many calls started, and the largest number in a window
// relative to the bound.
func runQuotaSimulation(t *rapid.T, plan plan, total *summary) (started int, worst float64) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "nodes"), plan)
	defer total.add(sim)
	load := newQuotaLoad(sim)
	for _, name := range []string{"clinic", "practice"} {
		load.addCaller(name, 0, places(len(sim.nodes)))
	}
	limits := drawLimits(t, load)
	for place := range sim.nodes {
		load.publish(place, limits)
	}
	for _, caller := range load.callers {
		caller.demand = 7 * limits[caller.name].rate
	}
	selected := quotaActions(sim, load)
	if plan.onlyActions != nil {
		maps.DeleteFunc(selected, func(name string, _ func(*rapid.T)) bool {
			return name != "" && !slices.Contains(plan.onlyActions, name)
		})
	}
	t.Repeat(selected)
	for _, caller := range load.callers {
		started, worst = started+caller.started, max(worst, caller.worst)
	}
	return started, worst
}

// Guards against more calls of an organisation than its quota allows, summed over all nodes,
// whatever happens to nodes and links: two nodes that both count the same share, shares that are
// counted after their nodes use them again, and tokens that outlive their lease or their limit.
func TestQuotasHold(t *testing.T) {
	defer setFlag(t, "rapid.checks", fmt.Sprint(quotaChecks))()
	started, worst := 0, 0.0
	var total summary
	rapid.Check(t, func(rt *rapid.T) {
		calls, largest := runQuotaSimulation(rt, plan{}, &total)
		started, worst = started+calls, max(worst, largest)
	})
	t.Logf("%d calls started, at most %.3f of what is allowed, %s", started, worst, total.String())
}

// quotaMutations are faults that the oracle of quotas has to find.
var quotaMutations = []mutation{
	{name: "tokens of a reply count twice", changeInput: func(_ *node, in *carobinbox.Inbox) {
		for _, message := range in.Messages {
			if message.QuotaReply == nil {
				continue
			}
			for i := range message.QuotaReply.Grants {
				message.QuotaReply.Grants[i].Tokens *= 2
			}
		}
	}},
	{name: "each node takes the whole quota for its share", changeInput: func(n *node, _ *carobinbox.Inbox) {
		n.core.World().QuotaNodes = 1
	}},
	{name: "leases do not end", changeEffects: func(n *node, _ *carobinbox.Inbox, _ *caroboutbox.Outbox) {
		for _, lease := range n.core.World().QuotaLeases.All() {
			if lease.CountedUntil != carobinstant.Never {
				lease.CountedUntil = n.clock().Add(time.Hour)
			}
		}
	}},
	{name: "nodes that are not heard of do not count", changeInput: func(n *node, _ *carobinbox.Inbox) {
		world := n.core.World()
		world.QuotaNodes = 1
		for _, peer := range world.Peers.All() {
			if !peer.Member.Liveness.Down() {
				world.QuotaNodes++
			}
		}
	}, onlyActions: []string{"wait", "split", "mend all"}},
}

// TestQuotaMutations checks that the oracle finds each fault of quotaMutations.
func TestQuotaMutations(t *testing.T) {
	defer setFlag(t, "rapid.shrinktime", "0s")()
	for _, mutation := range quotaMutations {
		t.Run(mutation.name, func(t *testing.T) {
			var total summary
			recorder := &failureRecorder{name: t.Name()}
			recorder.run(func() {
				rapid.Check(recorder, func(rt *rapid.T) {
					runQuotaSimulation(rt, plan{mutation: mutation, onlyActions: mutation.onlyActions}, &total)
				})
			})
			require.True(t, recorder.failed, "no violation was found in %s", total.String())
			reason, _, _ := strings.Cut(recorder.firstFailure[strings.Index(recorder.firstFailure, ":")+2:], "\n")
			t.Logf("| %s | %d | %d | %s |", mutation.name, total.cases, total.ticks, reason)
		})
	}
}

// quotaChecks is the number of simulations of TestQuotasHold. They take longer than those of other
// tests, because their callers send all the time.
const quotaChecks = 25

// setFlag sets a flag and returns a function that restores it.
func setFlag(t *testing.T, name, value string) func() {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	require.NoError(t, flag.Set(name, value))
	return func() { require.NoError(t, flag.Set(name, old)) }
}
