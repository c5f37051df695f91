package carobroutesync_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobroutesync"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	near = carobcentre.Centre("here")
	far  = carobcentre.Centre("there")
)

// rig is a node with one peer in its data centre and one in another.
type rig struct {
	t      *testing.T
	world  *carobworld.World
	system *carobroutesync.System
	now    carobinstant.Instant
}

func newRig(t *testing.T) *rig {
	t.Helper()
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "self", Incarnation: 1, Centre: near, PeerAddress: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(),
	})
	for node, centre := range map[carobnodeid.ID]carobcentre.Centre{"near": near, "far": far} {
		world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{
			Node: node, Incarnation: 1, Centre: centre, PeerAddress: carobaddress.Address(node),
		}})
	}
	return &rig{t: t, world: world, system: carobroutesync.NewSystem(), now: carobinstant.Instant(time.Hour)}
}

func (r *rig) step(d time.Duration, in carobinbox.Inbox) []carobmessage.Message {
	r.now = r.now.Add(d)
	r.world.BeginTick(in)
	r.system.Run(r.world, r.now)
	return r.world.Outbox.Messages
}

func (r *rig) receive(from carobnodeid.ID, version carobrouteversion.Version) []carobmessage.Message {
	return r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{
		{From: from, Incarnation: 1, ReplyTo: carobaddress.Address(from), RoutesVersion: version},
	}})
}

func table(t *testing.T, version carobrouteversion.Version) *carobroutetable.RouteTable {
	t.Helper()
	rs, err := carobroutetable.NewRouteTable(version, nil)
	require.NoError(t, err)
	return rs
}

// Tables can arrive out of order, from the store and from peers. An older one must not
// replace a newer one.
func TestVersionsNeverGoBack(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 9)}})
	r.step(time.Millisecond, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 5)}})
	r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{{From: "near", Incarnation: 1, RouteTable: table(t, 8)}}})
	require.EqualValues(t, 9, r.world.RoutesVersion())
}

// A table read from the store must be announced at once, by its version only, and only in
// the node's data centre, where traffic is cheapest.
func TestNewTableIsAnnouncedInTheDataCentre(t *testing.T) {
	r := newRig(t)
	sent := r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 9)}})
	require.Len(t, sent, 1)
	require.EqualValues(t, "near", sent[0].To)
	require.EqualValues(t, 9, sent[0].RoutesVersion)
	require.Nil(t, sent[0].RouteTable, "the table is sent on request only")
}

// A node with an old table must leave the nodes of its data centre time to announce the
// newer one before it requests it from elsewhere.
func TestOutdatedNodeRequestsInItsDataCentreFirst(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 3)}})
	require.Empty(t, r.receive("far", 9), "nodes of its data centre get a head start")
	sent := r.receive("near", 9)
	require.Len(t, sent, 1)
	require.EqualValues(t, "near", sent[0].To)
	require.EqualValues(t, 3, sent[0].RouteFetch.Version)
}

// If no node of the data centre announces the newer table, it must be requested from
// elsewhere, and again if the answer is lost.
func TestNodeRequestsElsewhereIfItsDataCentreHasNoNewerTable(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 3)}})
	r.receive("far", 9)
	sent := r.step(200*time.Millisecond, carobinbox.Inbox{})
	require.Len(t, sent, 1)
	require.EqualValues(t, "far", sent[0].To)
	require.Empty(t, r.step(100*time.Millisecond, carobinbox.Inbox{}), "one request is pending at a time")
	require.Len(t, r.step(200*time.Millisecond, carobinbox.Inbox{}), 1, "requested again after a time-out")
}

// A node without a route table has nothing to route by, so its data centre's head start
// must not delay its request.
func TestNodeWithoutATableRequestsAtOnce(t *testing.T) {
	r := newRig(t)
	require.Len(t, r.receive("far", 9), 1)
}

// A request is answered only with a newer table, since any other would only cost traffic.
func TestOnlyNewerTablesAreSent(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 9)}})
	request := func(have carobrouteversion.Version) []carobmessage.Message {
		return r.step(time.Millisecond, carobinbox.Inbox{Messages: []carobmessage.Message{
			{From: "far", Incarnation: 1, ReplyTo: "far", RoutesVersion: have, RouteFetch: &carobroutefetch.RouteFetch{Version: have}},
		}})
	}
	require.Empty(t, request(9))
	sent := request(4)
	require.Len(t, sent, 1)
	require.EqualValues(t, 9, sent[0].RouteTable.Version)
}

// Guards against operators who cannot see that the newest table in the store is not in force.
func TestRejectedTableIsShownUntilANewerOneIsInForce(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 4)}})
	rejection := &carobrouterejection.RouteRejection{Version: 6, Reason: "route r: no service"}
	r.step(0, carobinbox.Inbox{RouteRejections: []*carobrouterejection.RouteRejection{rejection}})
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 5)}})
	r.world.EndTick(r.now)
	require.True(t, r.world.Outbox.RoutesRejected)
	require.Equal(t, rejection, r.world.RouteRejection)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 7)}})
	r.world.EndTick(r.now)
	require.False(t, r.world.Outbox.RoutesRejected)
}

// Guards against a late table whose log line does not show for how long the older one counted as the newest, and whether
// this node had read that itself.
func TestNewTableIsLoggedWithTheAgeOfTheConfirmation(t *testing.T) {
	r := newRig(t)
	r.step(0, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 3)}})
	require.Equal(t, []carobinput.Input{{Name: "confirmedms", Value: -1}, {Name: "readms", Value: -1}}, r.world.Outbox.Audits[0].Inputs)
	r.world.RoutesConfirmedAt, r.world.RoutesReadAt = r.now, r.now.Add(-time.Second)
	r.step(time.Second, carobinbox.Inbox{RouteTables: []*carobroutetable.RouteTable{table(t, 4)}})
	require.Equal(t, []carobinput.Input{{Name: "confirmedms", Value: 1000}, {Name: "readms", Value: 2000}}, r.world.Outbox.Audits[0].Inputs)
}
