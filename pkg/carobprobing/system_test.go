package carobprobing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmeasure"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobpoll"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

var other = carobtargetid.ID{Service: "lookups", Name: "b"}

// made returns a world in which another node's target is in use.
func made(rate carobrate.Rate) *carobworld.World {
	w := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "one", Peer: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(),
		Measure: carobmeasure.Measure{Rate: rate, Share: 0.01},
	})
	w.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: carobprofile.NewProfile("p")}})
	w.Groups.Put("lookups", carobgroup.Group{Profile: "p", Targets: []carobtargetid.ID{other}})
	w.Targets.Put(other, carobtarget.Target{ID: other, Node: "two"})
	w.Peers.Put("two", carobpeer.Peer{Member: carobmember.Member{Node: "two", Peer: "127.0.0.1:2"}})
	return w
}

// tick runs the system with the target in use and returns what it sends.
func tick(s *System, w *carobworld.World, now carobinstant.Instant, messages ...carobmessage.Message) []carobmessage.Message {
	w.Begin(carobinbox.Inbox{Messages: messages})
	s.Run(w, now)
	return w.Outbox.Messages
}

func TestOldReportsAreAskedForAnew(t *testing.T) {
	second := carobinstant.Instant(time.Second)
	s, w := NewSystem(), made(2048)
	ld := w.Loads.Put(other, carobload.Load{Looked: second, At: second})
	require.Empty(t, tick(s, w, second))
	require.NotEqual(t, carobinstant.Never, w.Wake())
	sent := tick(s, w, second.Add(200*time.Millisecond))
	require.Len(t, sent, 1)
	require.Equal(t, other, sent[0].Poll.Target)
	require.Empty(t, tick(s, w, second.Add(400*time.Millisecond)), "an answer is under way")
	require.Empty(t, tick(s, w, second.Add(410*time.Millisecond),
		carobmessage.Message{Report: &carobreport.Report{Target: other, Running: 7}}))
	require.Equal(t, 7, ld.Report.Running)
	require.Empty(t, tick(s, w, second.Add(time.Minute)), "the target is not in use")
}

func TestAnswerTellsTheLoad(t *testing.T) {
	now := carobinstant.Instant(time.Minute)
	s, w := NewSystem(), made(2048)
	own := carobtargetid.ID{Service: "lookups", Name: "a"}
	w.Targets.Put(own, carobtarget.Target{ID: own, Node: "one"})
	w.Gates.Put(own, carobgate.Gate{Limit: 12, Running: 3, Queued: 1, Latency: time.Second, Learned: now.Add(-time.Minute)})
	sent := tick(s, w, now, carobmessage.Message{Back: "127.0.0.1:2", Poll: &carobpoll.Poll{Target: own}})
	require.Len(t, sent, 1)
	require.Equal(t, &carobreport.Report{Target: own, Running: 3, Queued: 1, Slots: 12, Latency: sent[0].Report.Latency}, sent[0].Report)
	require.Empty(t, tick(s, w, now, carobmessage.Message{Poll: &carobpoll.Poll{Target: other}}), "not an own target")
}

// Whatever comes, the budget holds over all, and out of budget means no message.
func TestBudgetIsAHardCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 8192).Draw(t, "rate")
		s, w := NewSystem(), made(carobrate.Rate(rate))
		start := carobinstant.Instant(time.Second)
		now, sent := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "ticks") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")))
			w.Loads.Put(other, carobload.Load{Looked: now, At: 1})
			sent += len(tick(s, w, now))
		}
		price := Price(w, other)
		require.LessOrEqual(t, float64(sent)*price, price+rate*now.Sub(start).Seconds())
		require.LessOrEqual(t, float64(sent)*messageTime.Seconds(), messageTime.Seconds()+0.01*now.Sub(start).Seconds())
	})
}
