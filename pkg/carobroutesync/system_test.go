package carobroutesync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutes"
	"github.com/carobknot/carobknot/pkg/carobroutesync"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	near = carobcentre.Centre("here")
	far  = carobcentre.Centre("there")
)

// rig is a node with one other node in its data centre and one elsewhere.
type rig struct {
	t      *testing.T
	world  *carobworld.World
	system *carobroutesync.System
	now    carobinstant.Instant
}

func newRig(t *testing.T) *rig {
	t.Helper()
	w := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "self", Incarnation: 1, Centre: near, Peer: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(),
	})
	for node, centre := range map[carobnodeid.ID]carobcentre.Centre{"near": near, "far": far} {
		w.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{
			Node: node, Incarnation: 1, Centre: centre, Peer: carobaddress.Address(node),
		}})
	}
	return &rig{t: t, world: w, system: carobroutesync.NewSystem(), now: carobinstant.Instant(time.Hour)}
}

func (r *rig) step(d time.Duration, in carobinbox.Inbox) []carobmessage.Message {
	r.now = r.now.Add(d)
	r.world.Begin(in)
	r.system.Run(r.world, r.now)
	return r.world.Outbox.Messages
}

func (r *rig) hear(from carobnodeid.ID, version carobrouteversion.Version) []carobmessage.Message {
	return r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{
		{From: from, Incarnation: 1, Back: carobaddress.Address(from), RoutesVersion: version},
	}})
}

func table(t *testing.T, version carobrouteversion.Version) *carobroutes.Routes {
	t.Helper()
	rs, err := carobroutes.NewRoutes(version, nil)
	require.NoError(t, err)
	return rs
}

func TestVersionsNeverGoBack(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 9)}})
	r.step(time.Millisecond, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 5)}})
	r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{{From: "near", Incarnation: 1, Routes: table(t, 8)}}})
	require.EqualValues(t, 9, r.world.RoutesVersion())
}

func TestNewTableIsAnnouncedInTheDataCentre(t *testing.T) {
	r := newRig(t)
	sent := r.step(0, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 9)}})
	require.Len(t, sent, 1)
	require.EqualValues(t, "near", sent[0].To)
	require.EqualValues(t, 9, sent[0].RoutesVersion)
	require.Nil(t, sent[0].Routes, "the table travels on request only")
}

func TestNodeThatIsBehindAsksInItsDataCentreFirst(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 3)}})
	require.Empty(t, r.hear("far", 9), "the own data centre has a head start")
	sent := r.hear("near", 9)
	require.Len(t, sent, 1)
	require.EqualValues(t, "near", sent[0].To)
	require.EqualValues(t, 3, sent[0].RouteFetch.Have)
}

func TestNodeAsksElsewhereWhenItsDataCentreKnowsNothing(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 3)}})
	r.hear("far", 9)
	sent := r.step(200*time.Millisecond, carobinbox.Inbox{})
	require.Len(t, sent, 1)
	require.EqualValues(t, "far", sent[0].To)
	require.Empty(t, r.step(100*time.Millisecond, carobinbox.Inbox{}), "one question at a time")
	require.Len(t, r.step(200*time.Millisecond, carobinbox.Inbox{}), 1, "asked again when no answer comes")
}

func TestNodeWithoutATableAsksAtOnce(t *testing.T) {
	r := newRig(t)
	require.Len(t, r.hear("far", 9), 1)
}

func TestOnlyNewerTablesAreGiven(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{Routes: []*carobroutes.Routes{table(t, 9)}})
	ask := func(have carobrouteversion.Version) []carobmessage.Message {
		return r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{
			{From: "far", Incarnation: 1, Back: "far", RoutesVersion: have, RouteFetch: &carobroutefetch.Fetch{Have: have}},
		}})
	}
	require.Empty(t, ask(9))
	sent := ask(4)
	require.Len(t, sent, 1)
	require.EqualValues(t, 9, sent[0].Routes.Version)
}
