package carobrouteconfirmation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobclocksync"
	"github.com/carobknot/carobknot/pkg/carobconfirmation"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobrouteconfirmation"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	applyTimeout    = 2 * time.Second
	recoveryTimeout = 3 * time.Second
	version         = carobrouteversion.Version(5)
)

// rig is a node with a route table and one peer in its data centre and two in another.
type rig struct {
	world  *carobworld.World
	clocks *carobclocksync.System
	system *carobrouteconfirmation.System
	now    carobinstant.Instant
	// reader is true if the node reads the store for its data centre.
	reader bool
}

func newRig(t *testing.T) *rig {
	t.Helper()
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "self", Incarnation: 1, Centre: "here", PeerAddress: "127.0.0.1:1"}, Limits: caroblimits.NewLimits(), Seed: 1,
	})
	for _, peer := range []struct {
		node   carobnodeid.ID
		centre carobcentre.Centre
	}{{"near", "here"}, {"far-b", "there"}, {"far-a", "there"}} {
		world.Peers.Put(peer.node, carobpeer.Peer{Member: carobmember.Member{
			Node: peer.node, Incarnation: 1, Centre: peer.centre, PeerAddress: carobaddress.Address(peer.node),
		}})
	}
	table, err := carobroutetable.NewRouteTable(version, nil)
	require.NoError(t, err)
	world.RouteTable = table
	return &rig{
		world: world, clocks: carobclocksync.NewSystem(), now: carobinstant.Instant(time.Hour),
		system: carobrouteconfirmation.NewSystem(carobrouteconfirmation.Config{ApplyTimeout: applyTimeout, RecoveryTimeout: recoveryTimeout}),
	}
}

// step runs a tick some time after the last one and reports whether a read was requested.
func (r *rig) step(after time.Duration, in carobinbox.Inbox) bool {
	r.now = r.now.Add(after)
	r.world.BeginTick(in)
	r.world.Outbox.ReadingStore = r.reader
	r.clocks.Run(r.world, r.now)
	r.system.Run(r.world, r.now)
	return r.world.Outbox.ConfirmRoutes
}

// confirm lets a read of the node succeed that began at the present instant.
func (r *rig) confirm() {
	r.step(0, carobinbox.Inbox{StoreReads: []carobinstant.Instant{r.now}})
}

// receive lets a message of a peer arrive.
func (r *rig) receive(after time.Duration, message carobmessage.Message) bool {
	message.From, message.Incarnation, message.ReplyTo = "near", 1, "near"
	return r.step(after, carobinbox.Inbox{Messages: []carobmessage.Message{message}})
}

// untilRead returns how long it takes until the next read is requested, in steps of 10 ms,
// or applyTimeout if none is requested before.
func (r *rig) untilRead() time.Duration {
	const interval = 10 * time.Millisecond
	for waited := time.Duration(0); waited < applyTimeout; waited += interval {
		if r.step(interval, carobinbox.Inbox{}) {
			return waited + interval
		}
	}
	return applyTimeout
}

// Guards against nodes that read too late to apply a new table in time, and against many that read though the reader does.
func TestNodesReadBeforeTheTimeoutAndReadersFirst(t *testing.T) {
	latestReader, earliestOther := time.Duration(0), applyTimeout
	for range 50 {
		r := newRig(t)
		r.reader = true
		r.confirm()
		latestReader = max(latestReader, r.untilRead())
		r.reader = false
		r.confirm()
		other := r.untilRead()
		earliestOther = min(earliestOther, other)
		require.LessOrEqual(t, other, applyTimeout*3/4)
	}
	require.Less(t, latestReader, earliestOther)
}

// Guards against a node that never reads because it has not had a confirmation yet.
func TestUnconfirmedTableIsReadAtOnce(t *testing.T) {
	require.True(t, newRig(t).step(0, carobinbox.Inbox{}))
}

// Guards against reads that repeat too often while the store fails, and against reads that are too rare for two of them, should the first fail, to fit into the time after an outage.
func TestFailedReadsAreRepeatedWithBackoff(t *testing.T) {
	r := newRig(t)
	var reads []carobinstant.Instant
	const interval, duration = 10 * time.Millisecond, time.Minute
	for waited := time.Duration(0); waited < duration; waited += interval {
		if r.step(interval, carobinbox.Inbox{}) {
			reads = append(reads, r.now)
		}
	}
	for i := 2; i < len(reads); i++ {
		require.Less(t, reads[i].Sub(reads[i-2]), recoveryTimeout)
	}
	require.Less(t, len(reads), int(3*duration/recoveryTimeout))
}

// Guards against reads in ever larger number at a store whose responses take longer than confirmations may be old.
func TestSlowReadsOverlapLittle(t *testing.T) {
	const delay, interval, duration = 1800 * time.Millisecond, 10 * time.Millisecond, time.Minute
	for _, reader := range []bool{true, false} {
		r := newRig(t)
		r.reader = reader
		var open []carobinstant.Instant
		reads := 0
		for waited := time.Duration(0); waited < duration; waited += interval {
			in := carobinbox.Inbox{}
			if len(open) > 0 && r.now.Add(interval).Sub(open[0]) >= delay {
				in.StoreReads, open = []carobinstant.Instant{open[0]}, open[1:]
			}
			if r.step(interval, in) {
				open = append(open, r.now)
				reads++
			}
			require.LessOrEqual(t, len(open), 6)
		}
		require.Greater(t, reads, int(duration/delay))
	}
}

// Guards against a message that makes a table count as the newest although the sender has a newer one, has no confirmation, sent it to the process before this one, or names an instant that has not come.
func TestConfirmationsOfOthersAreTakenOverOnlyForThisTable(t *testing.T) {
	confirmedBefore := func(r *rig, age time.Duration) *carobconfirmation.Confirmation {
		return &carobconfirmation.Confirmation{At: r.now.Add(time.Second - age), Clock: 1}
	}
	const fresh = time.Millisecond
	for _, test := range []struct {
		name    string
		version carobrouteversion.Version
		age     time.Duration
		clock   carobincarnation.Incarnation
		taken   bool
	}{
		{"same version", version, fresh, 1, true},
		{"older version", version - 1, fresh, 1, true},
		{"newer version", version + 1, fresh, 1, false},
		{"no confirmation", version, 0, 0, false},
		{"old confirmation", version, time.Minute, 1, false},
		{"another incarnation's clock", version, fresh, 2, false},
		{"in the future", version, -fresh, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.confirm()
			before := r.world.RoutesConfirmedAt
			message := carobmessage.Message{RoutesVersion: test.version}
			if test.clock != 0 {
				message.Confirmation = confirmedBefore(r, test.age)
				message.Confirmation.Clock = test.clock
			}
			r.receive(time.Second, message)
			require.Equal(t, test.taken, r.world.RoutesConfirmedAt > before)
			if test.taken {
				require.Equal(t, message.Confirmation.At, r.world.RoutesConfirmedAt, "a pause or a delay does not make it younger")
			}
		})
	}
}

// Guards against two nodes that keep each other's confirmations young without a read, however long their messages take.
func TestConfirmationsThatNodesReturnToEachOtherAge(t *testing.T) {
	for _, transit := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(transit.String(), func(t *testing.T) {
			one, two := newRig(t), newRig(t)
			send := func(from, to *rig) {
				from.world.BeginTick(carobinbox.Inbox{})
				from.world.SendMessage(carobmessage.Message{To: "near"})
				from.world.EndTick(from.now)
				message := from.world.Outbox.Messages[0]
				from.now, to.now = from.now.Add(transit), to.now.Add(transit)
				to.receive(0, message)
			}
			send(two, one)
			one.confirm()
			readAt := one.now
			for i := range 100 {
				send(one, two)
				send(two, one)
				require.LessOrEqual(t, one.world.RoutesConfirmedAt, readAt)
				require.LessOrEqual(t, two.world.RoutesConfirmedAt, readAt)
				require.NotEqual(t, carobinstant.Never, two.world.RoutesConfirmedAt, "after %d messages it has none", i)
			}
			require.GreaterOrEqual(t, one.now.Sub(one.world.RoutesConfirmedAt), applyTimeout)
			require.GreaterOrEqual(t, two.now.Sub(two.world.RoutesConfirmedAt), applyTimeout)
		})
	}
}

// Guards against nodes that all read since nobody announces that one has, and against announcements to every node everywhere.
func TestReadersAnnounceConfirmations(t *testing.T) {
	recipients := func(r *rig) []carobaddress.Address {
		var to []carobaddress.Address
		for _, message := range r.world.Outbox.Messages {
			to = append(to, message.To)
		}
		return to
	}
	r := newRig(t)
	r.confirm()
	require.Empty(t, recipients(r), "only readers announce")
	r.reader = true
	r.now = r.now.Add(time.Second)
	r.confirm()
	require.Equal(t, []carobaddress.Address{"near", "far-a"}, recipients(r), "its own data centre and the reader of the other one")
	r.receive(time.Second, carobmessage.Message{
		RoutesVersion: version, Confirmation: &carobconfirmation.Confirmation{At: r.now.Add(time.Second), Clock: 1},
	})
	require.Equal(t, []carobaddress.Address{"near"}, recipients(r), "another node's confirmation stays in the data centre")
}

// Guards against a node that reads itself because the reader does not know its clock and does not request it, and against requests with each announcement.
func TestReadersRequestClocksThatTheyDoNotKnow(t *testing.T) {
	r := newRig(t)
	r.reader = true
	announce := func(after time.Duration) carobmessage.Message {
		r.now = r.now.Add(after)
		r.confirm()
		r.world.EndTick(r.now)
		return r.world.Outbox.Messages[0]
	}
	first := announce(time.Second)
	require.True(t, first.ClockRequest)
	require.Nil(t, first.Confirmation)
	r.receive(time.Millisecond, carobmessage.Message{RoutesVersion: version, Clock: r.now})
	r.world.EndTick(r.now)
	require.Len(t, r.world.Outbox.Messages, 1, "the confirmation follows")
	require.NotNil(t, r.world.Outbox.Messages[0].Confirmation)
	second := announce(time.Second)
	require.False(t, second.ClockRequest)
	require.NotNil(t, second.Confirmation)
	require.True(t, announce(time.Minute).ClockRequest, "the reading is old")
}
