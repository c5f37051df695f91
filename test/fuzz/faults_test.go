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

// actions are what callers, operators and bad luck do to a simulation.
func actions(s *simulation) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if s.oracle.broken != "" {
				t.Fatalf("%s (at %s)", s.oracle.broken, s.elapsed())
			}
		},
		"wait a little": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
		},
		"wait": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
	}
	for _, some := range []map[string]func(*rapid.T){callerActions(s), networkActions(s), nodeActions(s), logActions(s), targetActions(s)} {
		maps.Copy(all, some)
	}
	return all
}

// running draws a node that has not ended.
func running(t *rapid.T, s *simulation) *node {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "place")]
	if !n.alive {
		t.Skip("node is down")
	}
	return n
}

func callerActions(s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":       func(t *rapid.T) { burst(t, s, running(t, s)) },
		"call often": func(t *rapid.T) { burst(t, s, running(t, s)) },
		"hang up": func(t *rapid.T) {
			n := running(t, s)
			for _, x := range ordered(n.calls) {
				if s.chance(0.5) {
					n.do(0, func() { n.hangUp(x) })
				}
			}
		},
	}
}

func networkActions(s *simulation) map[string]func(*rapid.T) {
	place := rapid.IntRange(0, len(s.nodes)-1)
	direction := func(t *rapid.T) link { return link{place.Draw(t, "from"), place.Draw(t, "to")} }
	return map[string]func(*rapid.T){
		"fault a link": func(t *rapid.T) {
			l, st := direction(t), rapid.SampledFrom([]state{cut, silent}).Draw(t, "state")
			if l.from == l.to {
				t.Skip("no link")
			}
			s.setLink(l, st)
			if rapid.Bool().Draw(t, "both ways") {
				s.setLink(link{l.to, l.from}, st)
			}
		},
		"break connections": func(t *rapid.T) { s.breakAttempts(direction(t)) },
		"mend links": func(*rapid.T) {
			for l := range s.links { // in any order: mending draws no chance
				s.setLink(l, open)
			}
		},
		"disturb messages": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			s.doubling = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "doubling")
			s.slowness = rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "slowness")
			for a := range s.nodes {
				s.parted[link{a, a}] = s.elapsed()
			}
		},
	}
}

func nodeActions(s *simulation) map[string]func(*rapid.T) {
	place := rapid.IntRange(0, len(s.nodes)-1)
	return map[string]func(*rapid.T){
		"freeze": func(t *rapid.T) { running(t, s).freeze() },
		"thaw": func(t *rapid.T) {
			if n := running(t, s); n.frozen {
				n.thaw()
			}
		},
		"kill":    func(t *rapid.T) { running(t, s).kill() },
		"replace": func(t *rapid.T) { s.boot(place.Draw(t, "place")) },
		"stop":    func(t *rapid.T) { running(t, s).stop() },
		"restart stopped": func(t *rapid.T) {
			if at := place.Draw(t, "place"); !s.nodes[at].alive {
				s.boot(at)
			}
		},
	}
}

func logActions(s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"log out":  func(*rapid.T) { s.log.out = true },
		"log back": func(*rapid.T) { s.log.out, s.log.slow, s.log.lose = false, 0, 0 },
		"slow log": func(t *rapid.T) {
			s.log.slow = time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond
		},
		"lose answers": func(t *rapid.T) { s.log.lose = rapid.IntRange(1, 3).Draw(t, "appends") },
		"expire": func(t *rapid.T) {
			s.log.of(carobstream.Nodes).expire(rapid.IntRange(0, 3).Draw(t, "keep"))
			s.log.of(carobstream.Profiles).expireProfiles()
		},
		"publish": func(t *rapid.T) {
			service := rapid.SampledFrom(services).Draw(t, "service")
			base := s.current(string(service.name))
			for i := range rapid.IntRange(1, 3).Draw(t, "operators") {
				deadline := time.Duration(1000+s.random.IntN(1000)+i) * time.Millisecond
				s.publish(string(service.name), service.once, deadline, base)
			}
		},
	}
}

func targetActions(s *simulation) map[string]func(*rapid.T) {
	target := func(t *rapid.T) *fakeTarget { return s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")] }
	return map[string]func(*rapid.T){
		"leave":     func(t *rapid.T) { target(t).turn(carobreadiness.Leaving) },
		"return":    func(t *rapid.T) { target(t).turn(carobreadiness.Ready) },
		"withdraw":  func(t *rapid.T) { target(t).withdraw() },
		"fail":      func(t *rapid.T) { target(t).down = true },
		"fail fast": func(t *rapid.T) { target(t).status = rapid.SampledFrom([]int{0, 500, 503}).Draw(t, "status") },
		"straggle":  func(t *rapid.T) { target(t).pace = rapid.SampledFrom([]int{1, 10, 300}).Draw(t, "pace") },
	}
}

// burst sends a few calls to a node at one moment.
func burst(t *rapid.T, s *simulation, n *node) {
	service := rapid.IntRange(0, len(services)-1).Draw(t, "service")
	patience := rapid.SampledFrom([]time.Duration{0, 4 * time.Millisecond, 40 * time.Millisecond, 800 * time.Millisecond}).Draw(t, "patience")
	if s.plan.patient {
		patience = 0
	}
	key := ""
	if services[service].once == "key" {
		key = fmt.Sprintf("key-%d", rapid.IntRange(1, 20).Draw(t, "key"))
	}
	for range rapid.IntRange(1, 8).Draw(t, "calls") {
		own, at := key, n
		if key != "" && !s.plan.resubmit {
			s.keys++
			own = fmt.Sprintf("key-%d", s.keys)
		}
		if key != "" && s.chance(0.5) {
			at = s.nodes[s.random.IntN(len(s.nodes))]
		}
		at.do(0, func() { at.call(service, own, patience) })
	}
}

// measuring returns the bytes of a message that count as measuring, or 0: its
// content, and what a request and its empty answer take at the least.
func measuring(s *simulation, ms carobmessage.Message) int {
	const frames = 300
	if ms.LoadProbe == nil && ms.Report == nil {
		return 0
	}
	data, err := s.codec.Marshal(ms)
	if err != nil {
		return 0
	}
	return len(data) + frames
}
