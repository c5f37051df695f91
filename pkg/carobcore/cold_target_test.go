package carobcore_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobservicerule"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

var coldTarget = carobtargetid.ID{Service: "lookups", Name: "a"}

const (
	// coldOverage and coldSlack bound the calls of a cold target in a second: coldOverage times
	// its limit, and coldSlack.
	coldOverage = 1.5
	coldSlack   = 8
	// coldStep is the time between two ticks, and heartbeatSteps the number of ticks between two
	// heartbeats, which are 1.5 s apart.
	coldStep       = time.Millisecond
	heartbeatSteps = 1500
	// callSteps and checkSteps are how many ticks a call and a health check take.
	callSteps, checkSteps = 20, 2
)

// coldRig is a node under constant offers beside a target that may be cold.
type coldRig struct {
	t        *testing.T
	core     *carobcore.Core
	random   *rand.Rand
	now      carobinstant.Instant
	steps    int
	nodes    carobincarnation.Incarnation
	tables   carobrouteversion.Version
	rule     carobcallrate.CallRate
	offersPS float64
	// coldEnd is when the target will be warm, and coldSince when its node learned that it is
	// cold; Never if it is warm.
	coldEnd, coldSince carobinstant.Instant
	born               carobincarnation.Incarnation
	sequence           uint64
	offers             uint64
	ends               map[int][]carobjobid.ID
	answers            map[int][]carobcheckresult.CheckResult
	// noChecks makes the target answer no health check, and silent send no heartbeats.
	noChecks, silent bool
	// slowness is what the target reports; 0 if it reports none.
	slowness float64
	// announceNow makes the target send a heartbeat in the next step.
	announceNow bool
	startedAt   []carobinstant.Instant
}

func newColdRig(t *testing.T, seed uint64, rule carobcallrate.CallRate) *coldRig {
	t.Helper()
	r := &coldRig{
		t: t, slowness: 1,
		random: rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // a fixed seed for a repeatable test
		now:    carobinstant.Instant(time.Hour), rule: rule, offersPS: 400, born: 1, coldEnd: carobinstant.Never,
		answers: map[int][]carobcheckresult.CheckResult{},
	}
	r.restartNode()
	return r
}

// restartNode replaces the node's process. The target goes on.
func (r *coldRig) restartNode() {
	limits := carobprobelimits.NewProbeLimits()
	limits.ChecksPerSecond = 40
	profile := carobprofile.NewProfile("p")
	profile.QueueLimit = 4
	r.nodes++
	r.core = carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self: carobmember.Member{Node: "here", Incarnation: r.nodes}, Limits: caroblimits.NewLimits(), ProbeLimits: limits, Seed: r.random.Uint64(),
		},
		Profiles: []carobprofile.Profile{profile}, AnnouncementTimeout: 4 * time.Second, ConfirmationPeriod: 9 * time.Second,
	})
	r.ends = map[int][]carobjobid.ID{}
	r.setRule(r.rule)
}

// setRule publishes a route table with a limit for cold targets; 0 is a table without a rule.
func (r *coldRig) setRule(rate carobcallrate.CallRate) {
	r.rule = rate
	r.tables++
	table := carobroutetable.RouteTable{Version: r.tables, Routes: []carobroute.Route{}}
	if rate > 0 {
		table.ServiceRules = []carobservicerule.ServiceRule{{Service: coldTarget.Service, ColdRate: rate}}
	}
	if err := table.Check(); err != nil {
		panic(err)
	}
	r.core.Tick(r.now, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{&table}})
}

// setCold makes the target cold for some time from now on, and announces that. A target that
// restarts has a new incarnation.
func (r *coldRig) setCold(duration time.Duration, restarted bool) {
	if restarted {
		r.born++
		r.sequence = 0
	}
	r.coldEnd, r.coldSince = r.now.Add(duration), r.now
	r.announceNow = true
}

// discover announces the target as its node does that has asked it after a start.
func (r *coldRig) discover() {
	r.core.Tick(r.now, carobinbox.Inbox{Announcements: []carobannouncement.Announcement{{
		Target: coldTarget, Address: "127.0.0.1:1", Profile: "p", Slots: 12, Connections: 1, Readiness: carobreadiness.Ready, Confirmed: true,
	}}})
}

// coldLeft returns how much longer the target is cold.
func (r *coldRig) coldLeft() time.Duration {
	if r.coldEnd == carobinstant.Never {
		return 0
	}
	return max(0, r.coldEnd.Sub(r.now))
}

func (r *coldRig) announcement() carobannouncement.Announcement {
	r.sequence++
	return carobannouncement.Announcement{
		Target: coldTarget, Address: "127.0.0.1:1", Profile: "p", Slots: 12, Connections: 1, Readiness: carobreadiness.Ready,
		Incarnation: r.born, Sequence: r.sequence, WarmupLeft: carobduration.Duration(r.coldLeft()),
	}
}

// run steps for some time.
func (r *coldRig) run(duration time.Duration) {
	r.t.Helper()
	for end := r.now.Add(duration); r.now < end; {
		r.step()
	}
}

func (r *coldRig) step() {
	r.t.Helper()
	r.now, r.steps = r.now.Add(coldStep), r.steps+1
	var in carobinbox.Inbox
	if r.announceNow || r.steps%heartbeatSteps == 0 && !r.silent {
		r.announceNow = false
		in.Announcements = append(in.Announcements, r.announcement())
	}
	for _, job := range r.ends[r.steps] {
		in.Finishes = append(in.Finishes, carobfinish.Finish{Job: job, Status: 200, Directive: &carobtargetdirective.TargetDirective{}})
	}
	delete(r.ends, r.steps)
	in.CheckResults = r.answers[r.steps]
	delete(r.answers, r.steps)
	if r.random.Float64() < r.offersPS*coldStep.Seconds() {
		r.offers++
		in.Offers = append(in.Offers, caroboffer.Offer{
			Job: carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1, Sequence: r.offers}, Attempt: 1}, Target: coldTarget,
			Incarnation: r.nodes, TimeLeft: time.Second,
		})
	}
	out := r.core.Tick(r.now, in)
	for _, check := range out.HealthChecks {
		if !r.noChecks {
			at := r.steps + checkSteps
			r.answers[at] = append(r.answers[at], carobcheckresult.CheckResult{
				Target: check.Target, OrderedAt: check.OrderedAt, Available: true, TargetLoad: &carobtargetload.TargetLoad{Slots: 12, Slowness: r.slowness},
				Directive: &carobtargetdirective.TargetDirective{WarmupLeft: r.coldLeft()},
			})
		}
	}
	for _, start := range out.Starts {
		r.ends[r.steps+callSteps] = append(r.ends[r.steps+callSteps], start.Job)
		r.startedAt = append(r.startedAt, r.now)
	}
	if len(out.Starts) > 0 && r.rule > 0 && r.coldLeft() > 0 {
		require.LessOrEqual(r.t, float64(r.startsSince(time.Second)), coldOverage*float64(r.rule)+coldSlack, "cold for %v", r.now.Sub(r.coldSince))
	}
}

// startsSince returns how many jobs started within a duration up to now.
func (r *coldRig) startsSince(duration time.Duration) int {
	count := 0
	for i := len(r.startedAt) - 1; i >= 0 && r.now.Sub(r.startedAt[i]) < duration; i-- {
		count++
	}
	return count
}

// seeds are those that each case runs with.
var coldSeeds = []uint64{1, 2, 3}

// Guards against more calls in any second than a cold target may get, also if it becomes cold in the middle of its load or its node restarts beside it.
func TestColdTargetGetsNoMoreCallsThanItsLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		rate carobcallrate.CallRate
		play func(r *coldRig)
	}{
		{"cold at its start", 5, func(r *coldRig) { r.setCold(3*time.Second, true); r.run(3 * time.Second) }},
		{"one call a second", 1, func(r *coldRig) { r.setCold(5*time.Second, true); r.run(5 * time.Second) }},
		{"many calls a second", 120, func(r *coldRig) { r.setCold(3*time.Second, true); r.run(3 * time.Second) }},
		{"cold again under load", 10, func(r *coldRig) {
			r.announceNow = true
			r.run(2 * time.Second)
			r.setCold(3*time.Second, false)
			r.run(3 * time.Second)
		}},
		{"cold again and again", 10, func(r *coldRig) {
			for range 10 {
				r.setCold(700*time.Millisecond, false)
				r.run(1300 * time.Millisecond)
			}
		}},
		{"cold again without a heartbeat", 10, func(r *coldRig) {
			r.announceNow = true
			r.run(2 * time.Second)
			r.setCold(3*time.Second, false)
			r.announceNow = false
			r.startedAt = nil // until a health check tells, the node cannot know
			r.run(1400 * time.Millisecond)
		}},
		{"restarted beside a living node", 10, func(r *coldRig) {
			r.announceNow = true
			r.run(2 * time.Second)
			r.setCold(3*time.Second, true)
			r.run(3 * time.Second)
		}},
		{"node restarts beside it", 10, func(r *coldRig) {
			r.setCold(5*time.Second, true)
			for range 5 {
				r.run(700 * time.Millisecond)
				r.restartNode()
				r.discover()
			}
		}},
		{"node restarts and hears nothing", 10, func(r *coldRig) {
			r.setCold(5*time.Second, true)
			r.run(time.Second)
			r.restartNode()
			r.discover()
			r.noChecks = true
			r.run(time.Second)
		}},
		{"rule added and removed", 10, func(r *coldRig) {
			r.setRule(0)
			r.setCold(9*time.Second, true)
			r.run(time.Second)
			r.setRule(10)
			r.startedAt = nil // the limit did not apply before
			r.run(2 * time.Second)
			r.setRule(0)
			r.run(time.Second)
			require.Greater(r.t, r.startsSince(time.Second), 200, "without a rule there is no limit")
			r.setRule(4)
			r.startedAt = nil
			r.run(2 * time.Second)
			r.setRule(40)
			r.run(2 * time.Second)
			require.Greater(r.t, r.startsSince(time.Second), 30, "the new limit is used")
		}},
	} {
		for _, seed := range coldSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				r := newColdRig(t, seed, c.rate)
				c.play(r)
				if r.rule == c.rate && r.coldLeft() > 0 {
					require.GreaterOrEqual(t, float64(r.startsSince(time.Second)), float64(c.rate)/2, "calls within the limit are started")
				}
			})
		}
	}
}

// Guards against a warm target that is held back: while its load is usual, after it has become warm, or beside a node that has restarted.
func TestWarmTargetIsNotLimited(t *testing.T) {
	const rate, usual = 5, 300
	for _, c := range []struct {
		name string
		play func(r *coldRig)
	}{
		{"warm from the first heartbeat", func(r *coldRig) { r.announceNow = true }},
		{"warm by its health check", func(r *coldRig) {
			r.setCold(300*time.Millisecond, true)
			r.run(310 * time.Millisecond)
			r.silent = true
		}},
		{"warm by its health check, without a reading", func(r *coldRig) {
			r.slowness = 0
			r.setCold(300*time.Millisecond, true)
			r.run(310 * time.Millisecond)
			r.silent = true
		}},
		{"node restarts beside it", func(r *coldRig) {
			r.announceNow = true
			r.run(time.Second)
			r.restartNode()
			r.discover()
			r.silent = true
		}},
		{"rule added", func(r *coldRig) {
			r.setRule(0)
			r.announceNow = true
			r.run(time.Second)
			r.setRule(rate)
		}},
	} {
		for _, seed := range coldSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				r := newColdRig(t, seed, rate)
				c.play(r)
				r.run(50 * time.Millisecond)
				r.run(time.Second)
				require.Greater(t, r.startsSince(time.Second), usual)
			})
		}
	}
}

// Guards against a health check answered before a restart that shows the new incarnation as warm.
func TestHealthCheckOfAnEarlierIncarnationShowsNothing(t *testing.T) {
	r := newColdRig(t, 1, 5)
	r.announceNow = true
	r.run(time.Second)
	old := carobcheckresult.CheckResult{
		Target: coldTarget, OrderedAt: r.now, Available: true, TargetLoad: &carobtargetload.TargetLoad{Slots: 12, Slowness: 1},
		Directive: &carobtargetdirective.TargetDirective{},
	}
	r.startedAt = nil
	r.setCold(3*time.Second, true)
	r.step()
	r.answers = map[int][]carobcheckresult.CheckResult{r.steps + 1: {old}}
	r.run(500 * time.Millisecond)
	require.NotNil(t, r.core.World().AdmissionStates.Get(coldTarget))
	require.False(t, r.core.World().AdmissionStates.Get(coldTarget).Warm)
}
