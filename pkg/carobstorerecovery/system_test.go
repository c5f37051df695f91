package carobstorerecovery_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// rig is a node whose core runs in steps of 100 ms.
type rig struct {
	core *carobcore.Core
	now  carobinstant.Instant
}

func newRig() *rig {
	r := &rig{now: carobinstant.Instant(time.Hour), core: carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self:   carobmember.Member{Node: "self", Incarnation: 1, Region: "r", Centre: "here", PeerAddress: "127.0.0.1:1"},
			Limits: caroblimits.NewLimits(),
		},
		Seeds: []carobaddress.Address{"127.0.0.1:2"},
	})}
	r.step(carobinbox.Inbox{})
	return r
}

func (r *rig) step(in carobinbox.Inbox) *caroboutbox.Outbox {
	const interval = 100 * time.Millisecond
	r.now = r.now.Add(interval)
	return r.core.Tick(r.now, in)
}

// rewrites returns how often the node writes its own record within some steps.
func (r *rig) rewrites(steps int) int {
	count := 0
	for range steps {
		count += len(r.step(carobinbox.Inbox{}).RetriedAppends)
	}
	return count
}

const (
	// rewriteSteps is the number of steps within which the own record is written again.
	rewriteSteps = 21
	first        = carobstoreera.Era(1)
)

func fromStore(eras ...carobstoreera.Era) carobinbox.Inbox {
	return carobinbox.Inbox{StoreEras: eras}
}

func fromPeer(era carobstoreera.Era) carobinbox.Inbox {
	return carobinbox.Inbox{Messages: []carobmessage.Message{{From: "peer", Incarnation: 1, ReplyTo: "127.0.0.1:2", StoreEra: era}}}
}

// Guards against a record of the node that stays lost, and against nodes that write theirs again without need, which has a price.
func TestOwnRecordIsWrittenAgainAfterARestore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inputs []carobinbox.Inbox
		want   int
	}{
		{"first era", []carobinbox.Inbox{fromStore(first)}, 0},
		{"first era, of a peer", []carobinbox.Inbox{fromPeer(first)}, 0},
		{"era rises in a response", []carobinbox.Inbox{fromStore(first), fromStore(first + 1)}, 1},
		{"a peer knows a higher era", []carobinbox.Inbox{fromStore(first), fromPeer(first + 1)}, 1},
		{"several at once", []carobinbox.Inbox{fromStore(first, first+1, first+2)}, 1},
		{"the same again", []carobinbox.Inbox{fromStore(first), fromStore(first), fromPeer(first)}, 0},
		{"a peer is behind", []carobinbox.Inbox{fromStore(first + 1), fromPeer(first)}, 0},
		{"the response is older than what a peer knew", []carobinbox.Inbox{fromPeer(first + 1), fromStore(first)}, 1},
		{"no era", []carobinbox.Inbox{{}, {}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig()
			written := 0
			for _, input := range tc.inputs {
				written += len(r.step(input).RetriedAppends)
			}
			require.Equal(t, tc.want, written+r.rewrites(rewriteSteps))
		})
	}
}

// Guards against a second restore whose loss is not made good since the node has just written for the first.
func TestOwnRecordIsWrittenAgainAfterEachRestore(t *testing.T) {
	r := newRig()
	r.step(fromStore(first))
	for era := range carobstoreera.Era(4) {
		r.step(fromStore(first + 1 + era))
		require.Equal(t, 1, r.rewrites(rewriteSteps))
	}
}

// Guards against nodes that do not learn of a restore since they never read the store, and against eras in messages where no store has them.
func TestMessagesNameTheEra(t *testing.T) {
	named := func(out *caroboutbox.Outbox) (all, heartbeats int) {
		for _, message := range out.Messages {
			if message.StoreEra != carobstoreera.None {
				all++
				if message.Heartbeat != nil {
					heartbeats++
				}
			}
		}
		return all, heartbeats
	}
	r := newRig()
	send := func(in carobinbox.Inbox) *caroboutbox.Outbox {
		// Each heartbeat is answered, and each node that is new is sent descriptions.
		in.Messages = append(in.Messages, carobmessage.Message{From: "peer", Incarnation: 1, ReplyTo: "127.0.0.1:2", Heartbeat: &carobpeerheartbeat.PeerHeartbeat{Number: 1}})
		return r.step(in)
	}
	all, _ := named(send(carobinbox.Inbox{}))
	require.Zero(t, all)
	out := send(fromStore(first))
	all, heartbeats := named(out)
	require.Positive(t, heartbeats)
	require.Equal(t, heartbeats, all, "only heartbeats name the era without a restore")
	out = send(fromStore(first + 1))
	all, _ = named(out)
	require.Len(t, out.Messages, all, "all messages name the era after a restore")
}

// Guards against operators who cannot see that the store went back.
func TestEraIsShown(t *testing.T) {
	r := newRig()
	require.Equal(t, carobstoreera.None, r.step(carobinbox.Inbox{}).StoreEra)
	require.EqualValues(t, 0, r.step(fromStore(first)).StoreEra.Number())
	out := r.step(fromStore(first + 1))
	require.EqualValues(t, 1, out.StoreEra.Number())
	require.Len(t, out.Audits, 1)
	require.Equal(t, "0", out.Audits[0].From)
	require.Equal(t, "1", out.Audits[0].To)
}
