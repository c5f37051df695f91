package carobclaiming_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	callTimeout     = 5 * time.Second
	readBackTimeout = 2500 * time.Millisecond
	tick            = time.Millisecond
)

// node is one node with the systems of the entry and of the home.
type node struct {
	world  *carobworld.World
	claims *carobclaiming.System
	entry  *carobentry.System
	inbox  carobinbox.Inbox
	// subscriptions holds, for each subscribed stream, the index of the next record.
	subscriptions map[carobstream.Stream]int
	// frozen is true while the node runs no ticks.
	frozen bool
	// conclusions holds the conclusions of the calls of this node.
	conclusions map[carobcallid.ID]carobconclusion.Conclusion
}

// cluster simulates nodes, the network between them and the log.
type cluster struct {
	t     *testing.T
	now   carobinstant.Instant
	nodes map[carobaddress.Address]*node
	names []string
	log   map[carobstream.Stream][]carobrecord.Record
	// logDown makes appends and reads fail, loseResponses makes successful
	// appends end with an uncertain result, and holdAppends collects appends in
	// heldAppends instead of carrying them out.
	logDown, loseResponses, holdAppends bool
	heldAppends                         []carobappendrequest.AppendRequest
	// appends counts the records that were appended.
	appends int
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, now: carobinstant.Instant(time.Hour), names: names,
		nodes: map[carobaddress.Address]*node{}, log: map[carobstream.Stream][]carobrecord.Record{},
	}
	for _, name := range names {
		c.nodes[carobaddress.Address(name)] = c.newNode(name, 1)
	}
	return c
}

func (c *cluster) newNode(name string, seed uint64) *node {
	self := carobmember.Member{Node: carobnodeid.ID(name), Incarnation: 1, PeerAddress: carobaddress.Address(name)}
	self.Incarnation += 0
	world := carobworld.NewWorld(carobworld.Config{Self: self, Limits: caroblimits.NewLimits(), Seed: seed})
	for _, other := range c.names {
		if other != name {
			member := carobmember.Member{Node: carobnodeid.ID(other), Incarnation: 1, PeerAddress: carobaddress.Address(other)}
			world.Peers.Put(member.Node, carobpeer.Peer{Member: member})
		}
	}
	world.Groups.Put("payouts", carobgroup.Group{Profile: "p"})
	revision := carobrevision.Revision{}
	revision.Change.Profile = carobprofile.NewProfile("p")
	revision.Change.Profile.Guarantee = carobguarantee.OncePerKey
	world.Profiles.Put("p", revision)
	return &node{
		world: world, entry: carobentry.NewSystem(), subscriptions: map[carobstream.Stream]int{},
		conclusions: map[carobcallid.ID]carobconclusion.Conclusion{},
		claims: carobclaiming.NewSystem(carobclaiming.Config{
			AppendInterval: 25 * time.Millisecond, SettlementInterval: 100 * time.Millisecond, ReadBackTimeout: readBackTimeout, RetryDelay: 200 * time.Millisecond, MaxKeys: 1000, MaxStoredBytes: 1 << 20,
		}),
	}
}

func (c *cluster) node(name string) *node { return c.nodes[carobaddress.Address(name)] }

// advance moves the clock forward and runs a tick of each node every millisecond.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now = c.now.Add(tick)
		for _, name := range c.names {
			if n := c.node(name); !n.frozen {
				c.step(n)
			}
		}
	}
}

// step runs one tick of a node and carries out its effects.
func (c *cluster) step(n *node) {
	for stream, next := range n.subscriptions {
		if records := c.log[stream]; !c.logDown && next < len(records) {
			n.inbox.Records = append(n.inbox.Records, records[next:]...)
			n.inbox.StreamBounds = append(n.inbox.StreamBounds, carobstreambounds.StreamBounds{Stream: stream, Next: caroboffset.Offset(len(records)), AtEnd: true})
			n.subscriptions[stream] = len(records)
		}
	}
	inbox := n.inbox
	n.inbox = carobinbox.Inbox{}
	n.world.BeginTick(inbox)
	n.claims.Run(n.world, c.now)
	n.entry.Run(n.world, c.now)
	outbox := n.world.Outbox
	for _, message := range outbox.Messages {
		if receiver := c.nodes[message.To]; receiver != nil {
			receiver.inbox.Messages = append(receiver.inbox.Messages, message)
		}
	}
	for _, subscription := range outbox.Subscriptions {
		delete(n.subscriptions, subscription.Stream)
		if subscription.Active {
			n.subscriptions[subscription.Stream] = 0
		}
	}
	for _, request := range outbox.AppendRequests {
		c.handleAppendRequest(n, request)
	}
	for _, conclusion := range outbox.Conclusions {
		require.NotContains(c.t, n.conclusions, conclusion.Call, "a call has two conclusions")
		n.conclusions[conclusion.Call] = conclusion
	}
}

// handleAppendRequest carries out an append as the log's state allows.
func (c *cluster) handleAppendRequest(n *node, request carobappendrequest.AppendRequest) {
	result := carobappendresult.AppendResult{Stream: request.Stream, Number: request.Number}
	switch {
	case c.holdAppends:
		c.heldAppends = append(c.heldAppends, request)
		return
	case c.logDown:
		result.Kind = carobkind.LogUnavailable
	default:
		c.appendRecord(request)
		if c.loseResponses {
			result.Kind = carobkind.AppendUncertain
		}
	}
	n.inbox.AppendResults = append(n.inbox.AppendResults, result)
}

// appendRecord puts a record into the log.
func (c *cluster) appendRecord(request carobappendrequest.AppendRequest) {
	c.appends++
	c.log[request.Stream] = append(c.log[request.Stream], carobrecord.Record{
		Stream: request.Stream, Offset: caroboffset.Offset(len(c.log[request.Stream])), Data: request.Data,
	})
}

// startCall sends a call to a node and returns the id of the call.
func (c *cluster) startCall(name, key string, sequence uint64) carobcallid.ID {
	n := c.node(name)
	id := carobcallid.ID{Node: n.world.Self.Node, Incarnation: n.world.Self.Incarnation, Sequence: sequence}
	n.inbox.Arrivals = append(n.inbox.Arrivals, carobarrival.Arrival{
		Call: id, Service: "payouts", Timeout: callTimeout, Key: key,
	})
	return id
}

// mayRun reports whether a call has got its key, or needs none, and may run.
func (c *cluster) mayRun(id carobcallid.ID) bool {
	call := c.node(string(id.Node)).world.Calls.Get(id)
	return call != nil && call.Stage == carobstage.Waiting
}

// finishCall ends a call with a complete response.
func (c *cluster) finishCall(id carobcallid.ID, body string) {
	n := c.node(string(id.Node))
	require.True(c.t, c.mayRun(id))
	n.world.Calls.Get(id).Stage = carobstage.Delivering
	n.inbox.Deliveries = append(n.inbox.Deliveries, carobdelivery.Delivery{
		Job:          carobjobid.ID{Call: id, Attempt: 1},
		StoredAnswer: &carobstoredanswer.StoredAnswer{Status: 201, Body: []byte(body)},
	})
}

// result returns the status and body or the error kind that a caller got, or
// "nothing" if the call has not ended.
func (c *cluster) result(id carobcallid.ID) string {
	conclusion, ok := c.node(string(id.Node)).conclusions[id]
	switch {
	case !ok:
		return "nothing"
	case conclusion.StoredAnswer != nil:
		return fmt.Sprintf("%d %s", conclusion.StoredAnswer.Status, conclusion.StoredAnswer.Body)
	default:
		return string(conclusion.Kind)
	}
}

// setLiveness sets the liveness state of a node in the view of all other nodes.
func (c *cluster) setLiveness(name string, liveness carobliveness.Liveness) {
	for _, n := range c.nodes {
		if peer := n.world.Peers.Get(carobnodeid.ID(name)); peer != nil {
			peer.Member.Liveness = liveness
			n.world.PeerChanges++
		}
	}
}

// homeOf returns the home of a key in the view of the first node.
func (c *cluster) homeOf(key string) string {
	n := c.node(c.names[0])
	id, _ := carobclaiming.Home(n.world, keyOf(key))
	return string(id)
}

// otherNode returns a node other than the named one.
func (c *cluster) otherNode(name string) string {
	for _, n := range c.names {
		if n != name {
			return n
		}
	}
	return ""
}
