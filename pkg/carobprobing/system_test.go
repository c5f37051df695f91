package carobprobing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobloadprobe"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// other is a target of another node.
var other = carobtargetid.ID{Service: "lookups", Name: "b"}

// newWorld returns a world with a target of another node.
func newWorld(rate carobrate.Rate) *carobworld.World {
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "one", PeerAddress: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(),
		ProbeLimits: carobprobelimits.ProbeLimits{BytesPerSecond: rate, CPUShare: 0.01},
	})
	world.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: carobprofile.NewProfile("p")}})
	world.Groups.Put("lookups", carobgroup.Group{Profile: "p", Targets: []carobtargetid.ID{other}})
	world.Targets.Put(other, carobtarget.Target{ID: other, Node: "two"})
	world.Peers.Put("two", carobpeer.Peer{Member: carobmember.Member{Node: "two", PeerAddress: "127.0.0.1:2"}})
	return world
}

// startedSystem returns a system that has run for more than a second.
func startedSystem(world *carobworld.World, now carobinstant.Instant) *System {
	s := NewSystem()
	tick(s, world, now.Add(-2*time.Second))
	return s
}

// tick runs the system on the messages and returns the messages it sends.
func tick(s *System, world *carobworld.World, now carobinstant.Instant, messages ...carobmessage.Message) []carobmessage.Message {
	world.BeginTick(carobinbox.Inbox{Messages: messages})
	s.Run(world, now)
	return world.Outbox.Messages
}

// Guards against routing by old reports, against a second probe while one is
// pending, and against probes of targets that receive no calls.
func TestProbesTargetsInUseWithOldReports(t *testing.T) {
	second := carobinstant.Instant(time.Hour)
	world := newWorld(2048)
	s := startedSystem(world, second)
	load := world.Loads.Put(other, carobload.Load{LastCandidateAt: second, ReportedAt: second})
	require.Empty(t, tick(s, world, second))
	require.NotEqual(t, carobinstant.Never, world.Wake())
	sent := tick(s, world, second.Add(200*time.Millisecond))
	require.Len(t, sent, 1)
	require.Equal(t, other, sent[0].LoadProbe.Target)
	require.Empty(t, tick(s, world, second.Add(400*time.Millisecond)), "a probe is pending")
	require.Empty(t, tick(s, world, second.Add(410*time.Millisecond),
		carobmessage.Message{Report: &carobreport.Report{Target: other, Running: 7}}))
	require.Equal(t, 7, load.Report.Running)
	require.Empty(t, tick(s, world, second.Add(time.Minute)), "the target is not in use")
}

// Guards against reports that lack a field of the load, and against answers for
// targets of other nodes.
func TestProbeIsAnsweredWithReport(t *testing.T) {
	now := carobinstant.Instant(time.Minute)
	world := newWorld(2048)
	s := startedSystem(world, now)
	own := carobtargetid.ID{Service: "lookups", Name: "a"}
	world.Targets.Put(own, carobtarget.Target{ID: own, Node: "one"})
	world.AdmissionStates.Put(own, carobadmissionstate.AdmissionState{Limit: 12, Running: 3, Queued: 1, Latency: time.Second, LatencyStart: now.Add(-time.Minute)})
	sent := tick(s, world, now, carobmessage.Message{ReplyTo: "127.0.0.1:2", LoadProbe: &carobloadprobe.LoadProbe{Target: own}})
	require.Len(t, sent, 1)
	require.Equal(t, &carobreport.Report{Target: own, Running: 3, Queued: 1, Slots: 12, Latency: sent[0].Report.Latency}, sent[0].Report)
	require.Empty(t, tick(s, world, now, carobmessage.Message{LoadProbe: &carobloadprobe.LoadProbe{Target: other}}), "target of another node")
}

// Guards against probes that exceed the configured bytes or processor time,
// whatever the times between ticks.
func TestProbesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 8192).Draw(t, "rate")
		s, world := NewSystem(), newWorld(carobrate.Rate(rate))
		start := carobinstant.Instant(time.Second)
		now, sent := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "ticks") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")))
			world.Loads.Put(other, carobload.Load{LastCandidateAt: now, ReportedAt: 1})
			sent += len(tick(s, world, now))
		}
		size := MessageBytes(world, other)
		require.LessOrEqual(t, float64(sent)*size, size+rate*now.Sub(start).Seconds())
		require.LessOrEqual(t, float64(sent)*cpuPerMessage.Seconds(), cpuPerMessage.Seconds()+0.01*now.Sub(start).Seconds())
	})
}

// Guards against a second in which a node sends more than its budget, because it has restarted in it, or because the names of targets and so the sizes of messages differ.
func TestNoSecondExceedsTheBudget(t *testing.T) {
	const rate = 2048
	type sent struct {
		at    carobinstant.Instant
		bytes float64
	}
	var all []sent
	now := carobinstant.Instant(time.Hour)
	for restart := range 30 {
		world := newWorld(rate)
		s := NewSystem()
		ids := []carobtargetid.ID{other, {Service: "lookups", Name: "a-much-longer-name-than-the-other"}}
		world.Targets.Put(ids[1], carobtarget.Target{ID: ids[1], Node: "two"})
		for step := range 200 + 7*restart {
			now = now.Add(10 * time.Millisecond)
			id := ids[step%2]
			world.Loads.Delete(ids[1-step%2])
			world.Loads.Put(id, carobload.Load{LastCandidateAt: now, ReportedAt: 1})
			for range tick(s, world, now) {
				all = append(all, sent{now, MessageBytes(world, id)})
			}
		}
	}
	require.Greater(t, len(all), 20)
	for i, last := range all {
		sum := 0.0
		for j := i; j >= 0 && last.at.Sub(all[j].at) < time.Second; j-- {
			sum += all[j].bytes
		}
		require.LessOrEqual(t, sum, float64(rate))
	}
}
