package carobfollowing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobfollowing"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutes"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

func TestOneNodeOfADataCentreFollows(t *testing.T) {
	member := func(node carobnodeid.ID, centre carobcentre.Centre, change func(m *carobmember.Member)) carobmember.Member {
		m := carobmember.Member{Node: node, Centre: centre}
		if change != nil {
			change(&m)
		}
		return m
	}
	for _, c := range []struct {
		name    string
		others  []carobmember.Member
		blind   bool
		unaware bool
		follows bool
	}{
		{"alone", nil, false, false, true},
		{"behind another", []carobmember.Member{member("a", "x", nil)}, false, false, false},
		{"before another", []carobmember.Member{member("z", "x", nil)}, false, false, true},
		{"others elsewhere", []carobmember.Member{member("a", "y", nil)}, false, false, true},
		{"the first is blind", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.Blind = true })}, false, false, true},
		{"the first is leaving", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.Leaving = true })}, false, false, true},
		{"the first is suspected", []carobmember.Member{member("a", "x", func(m *carobmember.Member) { m.Standing = carobstanding.Suspect })}, false, false, true},
		{"blind, and another sees", []carobmember.Member{member("z", "x", nil)}, true, false, false},
		{"all are blind, the first goes on", []carobmember.Member{member("z", "x", func(m *carobmember.Member) { m.Blind = true })}, true, false, true},
		{"knows no routes", []carobmember.Member{member("a", "x", nil)}, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := carobworld.NewWorld(carobworld.Config{
				Self: carobmember.Member{Node: "m", Centre: "x"}, Limits: caroblimits.NewLimits(),
			})
			if !c.unaware {
				rs, err := carobroutes.NewRoutes(1, nil)
				require.NoError(t, err)
				w.Routes = rs
			}
			for _, mb := range c.others {
				w.Peers.Put(mb.Node, carobpeer.Peer{Member: mb})
			}
			in := carobinbox.Inbox{}
			if c.blind {
				in.Blind = []bool{true}
			}
			beat := w.Self.Beat
			w.Begin(in)
			carobfollowing.NewSystem().Run(w, 1)
			require.Equal(t, c.follows, w.Outbox.Following)
			require.Equal(t, c.follows, w.Outbox.Hold > 0)
			require.Equal(t, c.blind, w.Self.Beat != beat, "blindness is news to others")
		})
	}
}

// Reads of all followers together begin as often whatever their number is.
func TestMoreFollowersHoldTheirReadsForLonger(t *testing.T) {
	hold := func(centres ...carobcentre.Centre) time.Duration {
		w := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "a", Centre: "x"}, Limits: caroblimits.NewLimits()})
		for i, centre := range centres {
			node := carobnodeid.ID("b" + string(rune('a'+i)))
			w.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{Node: node, Centre: centre}})
		}
		w.Begin(carobinbox.Inbox{})
		carobfollowing.NewSystem().Run(w, 1)
		return w.Outbox.Hold
	}
	alone := hold()
	require.Positive(t, alone)
	require.LessOrEqual(t, alone, time.Second)
	require.Equal(t, alone, hold("x", "x"))
	require.Equal(t, 3*alone, hold("x", "y", "z", "y"))
}
