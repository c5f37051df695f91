package carobclaiming_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobcommit"
	"github.com/carobknot/carobknot/pkg/carobcommitted"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmark"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	patience = 5 * time.Second
	resend   = 2500 * time.Millisecond
	tick     = time.Millisecond
)

// node is the entry and the home side of one node.
type node struct {
	world   *carobworld.World
	claims  *carobclaiming.System
	entry   *carobentry.System
	inbox   carobinbox.Inbox
	follows map[carobstream.Stream]int
	// frozen says that the node does not tick.
	frozen bool
	// told has how the calls of this node were concluded.
	told map[carobcallid.ID]carobconclusion.Conclusion
}

// rig is some nodes, the network between them and the log.
type rig struct {
	t     *testing.T
	now   carobinstant.Instant
	nodes map[carobaddress.Address]*node
	names []string
	log   map[carobstream.Stream][]carobrecord.Record
	// out makes appends and reads fail, lose loses the answers of appends that
	// took effect, hold keeps appends back.
	out, lose, hold bool
	held            []carobcommit.Commit
	appends         int
}

func newRig(t *testing.T, names ...string) *rig {
	t.Helper()
	r := &rig{
		t: t, now: carobinstant.Instant(time.Hour), names: names,
		nodes: map[carobaddress.Address]*node{}, log: map[carobstream.Stream][]carobrecord.Record{},
	}
	for _, name := range names {
		r.nodes[carobaddress.Address(name)] = r.newNode(name, 1)
	}
	return r
}

func (r *rig) newNode(name string, life uint64) *node {
	self := carobmember.Member{Node: carobnodeid.ID(name), Incarnation: 1, Peer: carobaddress.Address(name)}
	self.Incarnation += 0
	w := carobworld.NewWorld(carobworld.Config{Self: self, Limits: caroblimits.NewLimits(), Seed: life})
	for _, other := range r.names {
		if other != name {
			mb := carobmember.Member{Node: carobnodeid.ID(other), Incarnation: 1, Peer: carobaddress.Address(other)}
			w.Peers.Put(mb.Node, carobpeer.Peer{Member: mb})
		}
	}
	w.Groups.Put("payouts", carobgroup.Group{Profile: "p"})
	rv := carobrevision.Revision{}
	rv.Change.Profile = carobprofile.NewProfile("p")
	rv.Change.Profile.Once = carobonce.Key
	w.Profiles.Put("p", rv)
	return &node{
		world: w, entry: carobentry.NewSystem(), follows: map[carobstream.Stream]int{},
		told: map[carobcallid.ID]carobconclusion.Conclusion{},
		claims: carobclaiming.NewSystem(carobclaiming.Config{
			Gap: 25 * time.Millisecond, Lull: 100 * time.Millisecond, Patience: resend, Pause: 200 * time.Millisecond, Keys: 1000, Kept: 1 << 20,
		}),
	}
}

func (r *rig) node(name string) *node { return r.nodes[carobaddress.Address(name)] }

// rest lets time pass.
func (r *rig) rest(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.now = r.now.Add(tick)
		for _, name := range r.names {
			if n := r.node(name); !n.frozen {
				r.step(n)
			}
		}
	}
}

func (r *rig) step(n *node) {
	for stream, next := range n.follows {
		if records := r.log[stream]; !r.out && next < len(records) {
			n.inbox.Records = append(n.inbox.Records, records[next:]...)
			n.inbox.Marks = append(n.inbox.Marks, carobmark.Mark{Stream: stream, Next: caroboffset.Offset(len(records))})
			n.follows[stream] = len(records)
		}
	}
	in := n.inbox
	n.inbox = carobinbox.Inbox{}
	n.world.Begin(in)
	n.claims.Run(n.world, r.now)
	n.entry.Run(n.world, r.now)
	out := n.world.Outbox
	for _, ms := range out.Messages {
		if to := r.nodes[ms.To]; to != nil {
			to.inbox.Messages = append(to.inbox.Messages, ms)
		}
	}
	for _, fl := range out.Follows {
		delete(n.follows, fl.Stream)
		if fl.On {
			n.follows[fl.Stream] = 0
		}
	}
	for _, cm := range out.Commits {
		r.commit(n, cm)
	}
	for _, cn := range out.Conclusions {
		require.NotContains(r.t, n.told, cn.Call, "a caller is told twice")
		n.told[cn.Call] = cn
	}
}

func (r *rig) commit(n *node, cm carobcommit.Commit) {
	cd := carobcommitted.Committed{Stream: cm.Stream, Number: cm.Number}
	switch {
	case r.hold:
		r.held = append(r.held, cm)
		return
	case r.out:
		cd.Kind = carobkind.LogOut
	default:
		r.land(cm)
		if r.lose {
			cd.Kind = carobkind.Unsure
		}
	}
	n.inbox.Committed = append(n.inbox.Committed, cd)
}

// land puts a record into the log.
func (r *rig) land(cm carobcommit.Commit) {
	r.appends++
	r.log[cm.Stream] = append(r.log[cm.Stream], carobrecord.Record{
		Stream: cm.Stream, Offset: caroboffset.Offset(len(r.log[cm.Stream])), Data: cm.Data,
	})
}

// call brings a call to a node, and returns its id.
func (r *rig) call(name, key string, sequence uint64) carobcallid.ID {
	n := r.node(name)
	id := carobcallid.ID{Node: n.world.Self.Node, Incarnation: n.world.Self.Incarnation, Sequence: sequence}
	n.inbox.Arrivals = append(n.inbox.Arrivals, carobarrival.Arrival{
		Call: id, Service: "payouts", Patience: patience, Key: key,
	})
	return id
}

// runs reports whether a call may run.
func (r *rig) runs(id carobcallid.ID) bool {
	cl := r.node(string(id.Node)).world.Calls.Get(id)
	return cl != nil && cl.Stage == carobstage.Waiting
}

// answer ends a call with a whole answer.
func (r *rig) answer(id carobcallid.ID, body string) {
	n := r.node(string(id.Node))
	require.True(r.t, r.runs(id))
	n.world.Calls.Get(id).Stage = carobstage.Delivering
	n.inbox.Deliveries = append(n.inbox.Deliveries, carobdelivery.Delivery{
		Job:  carobjobid.ID{Call: id, Attempt: 1},
		Kept: &carobkept.Kept{Status: 201, Body: []byte(body)},
	})
}

func (r *rig) told(id carobcallid.ID) string {
	cn, ok := r.node(string(id.Node)).told[id]
	switch {
	case !ok:
		return "nothing"
	case cn.Kept != nil:
		return fmt.Sprintf("%d %s", cn.Kept.Status, cn.Kept.Body)
	default:
		return string(cn.Kind)
	}
}

// lost makes all other nodes take a node for unreachable.
func (r *rig) lost(name string, standing carobstanding.Standing) {
	for _, n := range r.nodes {
		if pr := n.world.Peers.Get(carobnodeid.ID(name)); pr != nil {
			pr.Member.Standing = standing
			n.world.PeerChanges++
		}
	}
}

// home returns the home of a key.
func (r *rig) home(key string) string {
	n := r.node(r.names[0])
	id, _ := carobclaiming.Home(n.world, keyOf(key))
	return string(id)
}

// other returns a node that is not the one named.
func (r *rig) other(name string) string {
	for _, n := range r.names {
		if n != name {
			return n
		}
	}
	return ""
}
