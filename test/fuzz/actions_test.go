package fuzz

import (
	"fmt"
	"maps"
	"time"

	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// actions returns what rapid can do to a simulation, by name: calls, changes by operators,
// and faults. The empty name is the check that rapid runs after each action. rapid sorts
// the names before it draws from them, so a renamed action changes what a seed does.
func actions(sim *simulation) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if sim.oracle.violation != "" {
				t.Fatalf("%s (at %s)", sim.oracle.violation, sim.elapsed())
			}
		},
		"wait a little": func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
		},
		"wait": func(t *rapid.T) {
			sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
	}
	groups := []map[string]func(*rapid.T){callerActions(sim), networkActions(sim), nodeActions(sim), logActions(sim), targetActions(sim), evacuationActions(sim)}
	if sim.operator != nil {
		groups = append(groups, operatorActions(sim))
	}
	for _, group := range groups {
		maps.Copy(all, group)
	}
	if sim.plan.coldTargets {
		maps.Copy(all, coldActions(sim))
	}
	return all
}

// drawRunningNode draws a place and returns its node. It skips the action if that node has
// ended.
func drawRunningNode(t *rapid.T, sim *simulation) *node {
	n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "place")]
	if !n.alive {
		t.Skip("node is down")
	}
	return n
}

func callerActions(sim *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":       func(t *rapid.T) { sendBurst(t, sim, drawRunningNode(t, sim)) },
		"call often": func(t *rapid.T) { sendBurst(t, sim, drawRunningNode(t, sim)) },
		"hang up": func(t *rapid.T) {
			n := drawRunningNode(t, sim)
			for _, call := range sortedValues(n.calls) {
				if sim.chance(0.5) {
					n.after(0, func() { n.disconnect(call) })
				}
			}
		},
	}
}

func networkActions(sim *simulation) map[string]func(*rapid.T) {
	place := rapid.IntRange(0, len(sim.nodes)-1)
	direction := func(t *rapid.T) link { return link{place.Draw(t, "from"), place.Draw(t, "to")} }
	return map[string]func(*rapid.T){
		"fault a link": func(t *rapid.T) {
			faulty, state := direction(t), rapid.SampledFrom([]linkState{linkReset, linkBlackhole}).Draw(t, "state")
			if faulty.from == faulty.to {
				t.Skip("no link")
			}
			sim.setLink(faulty, state)
			if rapid.Bool().Draw(t, "both ways") {
				sim.setLink(link{faulty.to, faulty.from}, state)
			}
		},
		"break connections": func(t *rapid.T) { sim.resetAttempts(direction(t)) },
		"mend links": func(*rapid.T) {
			for faulty := range sim.links { // the order does not matter: setLink to linkUp draws no random number
				sim.setLink(faulty, linkUp)
			}
		},
		"disturb messages": func(t *rapid.T) {
			sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "doubling")
			sim.maxExtraDelay = rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "slowness")
			for a := range sim.nodes {
				sim.lastFault[link{a, a}] = sim.elapsed()
			}
		},
	}
}

func nodeActions(sim *simulation) map[string]func(*rapid.T) {
	place := rapid.IntRange(0, len(sim.nodes)-1)
	return map[string]func(*rapid.T){
		"freeze": func(t *rapid.T) { drawRunningNode(t, sim).freeze() },
		"thaw": func(t *rapid.T) {
			if n := drawRunningNode(t, sim); n.frozen {
				n.thaw()
			}
		},
		"kill":    func(t *rapid.T) { drawRunningNode(t, sim).kill() },
		"replace": func(t *rapid.T) { sim.startNode(place.Draw(t, "place")) },
		"stop":    func(t *rapid.T) { drawRunningNode(t, sim).stop() },
		"restart stopped": func(t *rapid.T) {
			if at := place.Draw(t, "place"); !sim.nodes[at].alive {
				sim.startNode(at)
			}
		},
	}
}

func logActions(sim *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"log out":  func(*rapid.T) { sim.log.unavailable = true },
		"log back": func(*rapid.T) { sim.log.unavailable, sim.log.extraDelay, sim.log.lostResponses = false, 0, 0 },
		"slow log": func(t *rapid.T) {
			sim.log.extraDelay = time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond
		},
		"lose answers": func(t *rapid.T) { sim.log.lostResponses = rapid.IntRange(1, 3).Draw(t, "appends") },
		"expire": func(t *rapid.T) {
			sim.log.stream(carobstream.Nodes).expire(rapid.IntRange(0, 3).Draw(t, "keep"))
			sim.log.stream(carobstream.Profiles).expireProfiles()
		},
		"publish": func(t *rapid.T) {
			service := rapid.SampledFrom(services).Draw(t, "service")
			base := sim.currentRevision(string(service.name))
			for i := range rapid.IntRange(1, 3).Draw(t, "operators") {
				deadline := time.Duration(1000+sim.random.IntN(1000)+i) * time.Millisecond
				sim.publish(string(service.name), service.guarantee, deadline, base)
			}
		},
	}
}

func targetActions(sim *simulation) map[string]func(*rapid.T) {
	target := func(t *rapid.T) *fakeTarget {
		return sim.targets[rapid.IntRange(0, len(sim.targets)-1).Draw(t, "target")]
	}
	return map[string]func(*rapid.T){
		"leave":     func(t *rapid.T) { target(t).setReadiness(carobreadiness.Leaving) },
		"return":    func(t *rapid.T) { target(t).setReadiness(carobreadiness.Ready) },
		"withdraw":  func(t *rapid.T) { target(t).withdraw() },
		"fail":      func(t *rapid.T) { target(t).down = true },
		"fail fast": func(t *rapid.T) { target(t).fixedStatus = rapid.SampledFrom([]int{0, 500, 503}).Draw(t, "status") },
		"straggle":  func(t *rapid.T) { target(t).durationFactor = rapid.SampledFrom([]int{1, 10, 300}).Draw(t, "pace") },
	}
}

// sendBurst sends 1 to 8 calls of one service at the same time. Calls with a key go to
// other nodes too.
func sendBurst(t *rapid.T, sim *simulation, n *node) {
	service := rapid.IntRange(0, len(services)-1).Draw(t, "service")
	timeout := rapid.SampledFrom([]time.Duration{0, 4 * time.Millisecond, 40 * time.Millisecond, 800 * time.Millisecond}).Draw(t, "patience")
	if sim.plan.noCallTimeouts {
		timeout = 0
	}
	key := ""
	if services[service].guarantee == "key" {
		key = fmt.Sprintf("key-%d", rapid.IntRange(1, 20).Draw(t, "key"))
	}
	for range rapid.IntRange(1, 8).Draw(t, "calls") {
		callKey, entry := key, n
		if key != "" && !sim.plan.reuseKeys {
			sim.keyCount++
			callKey = fmt.Sprintf("key-%d", sim.keyCount)
		}
		if key != "" && sim.chance(0.5) {
			entry = sim.nodes[sim.random.IntN(len(sim.nodes))]
		}
		entry.after(0, func() { entry.startCall(service, callKey, timeout) })
	}
}

// probeSize returns the bytes that a message takes from the probe budget: its content, and
// at least 300 bytes for the frames of the request and of its empty response. It returns 0
// for messages other than load probes and reports.
func probeSize(sim *simulation, message carobmessage.Message) int {
	const overhead = 300
	if message.LoadProbe == nil && message.Report == nil {
		return 0
	}
	data, err := sim.codec.Marshal(message)
	if err != nil {
		return 0
	}
	return len(data) + overhead
}
