package capacity

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbatch"
	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// latency is how long a message takes, and logLatency a record.
	latency    = time.Millisecond
	logLatency = 5 * time.Millisecond
	// envelope is about how many bytes HTTP/2 adds to a batch and its answer.
	envelope = 120
	// stuck is more ticks than one instant can have.
	stuck = 2_000_000
)

// cluster is some cores in one process, with a network and a log that pass on what
// they send. Its clock goes as fast as the cores can follow.
type cluster struct {
	t     testing.TB
	codec *carobcodec.Codec
	now   carobinstant.Instant
	// nodes are in the order in which they started; there has the newest at each
	// address.
	nodes []*node
	there map[carobaddress.Address]*node
	posts posts
	// cut says whether a message gets lost.
	cut func(from, to *node) bool
	// streams is the log. While out, it takes and gives nothing.
	streams map[carobstream.Stream][]carobrecord.Record
	out     bool
	// still counts the ticks since the clock last went on.
	still int
	// first is the first offset of profiles that the log keeps.
	first caroboffset.Offset
}

// node is one core.
type node struct {
	core *carobcore.Core
	self carobmember.Member
	// dead nodes neither take messages nor wake.
	dead bool
	// stopped says that the node has shut down gracefully.
	stopped bool
	// sent counts bytes and batches.
	bytes, batches int
	// audits counts entries of the audit trail.
	audits map[string]int
	// waiting are appends that the log did not take.
	waiting []carobappend.Append
}

// post is an inbox on its way.
type post struct {
	at    carobinstant.Instant
	order int
	to    *node
	in    carobinbox.Inbox
}

func newCluster(tb testing.TB) *cluster {
	tb.Helper()
	codec, err := carobcodec.NewCodec()
	require.NoError(tb, err)
	return &cluster{
		t: tb, codec: codec, now: carobinstant.Instant(time.Hour), there: map[carobaddress.Address]*node{},
		cut: func(_, _ *node) bool { return false }, streams: map[carobstream.Stream][]carobrecord.Record{},
	}
}

// grow starts nodes that spread over regions and data centres, with a target each.
func (c *cluster) grow(n int) {
	c.t.Helper()
	for range n {
		c.start(len(c.nodes), 1)
	}
}

// start starts the node of a number in an incarnation.
func (c *cluster) start(number int, incarnation carobincarnation.Incarnation) *node {
	const regions, centres, services = 2, 6, 17
	n := &node{audits: map[string]int{}, self: carobmember.Member{
		Node: carobnodeid.ID(fmt.Sprintf("node-%d", number)), Incarnation: carobincarnation.Incarnation(c.now) + incarnation,
		Region:      carobregion.Region(fmt.Sprint("region-", number%regions)),
		Centre:      carobcentre.Centre(fmt.Sprint("centre-", number%centres)),
		PeerAddress: carobaddress.Address(fmt.Sprintf("10.0.%d.%d:7002", number/250, number%250)),
	}}
	n.core = carobcore.NewCore(carobcore.Config{World: carobworld.Config{
		Self: n.self, Limits: caroblimits.NewLimits(), Seed: uint64(number)<<8 + uint64(incarnation),
	}})
	c.nodes = append(c.nodes, n)
	c.there[n.self.PeerAddress] = n
	for stream, records := range c.streams {
		c.give(n, stream, records)
	}
	c.step(n, carobinbox.Inbox{})
	c.announce(n, fmt.Sprint("service-", number%services), carobreadiness.Ready)
	return n
}

func (c *cluster) announce(n *node, service string, state carobreadiness.Readiness) {
	c.step(n, carobinbox.Inbox{Announcements: []carobannouncement.Announcement{{
		Target:  carobtargetid.ID{Service: carobservice.Service(service), Name: carobname.Name(n.self.Node)},
		Address: "127.0.0.1:8000", Profile: "lookups", Slots: 12, Connections: 200, Readiness: state,
	}}})
}

// give has the log pass records on to a node.
func (c *cluster) give(n *node, stream carobstream.Stream, records []carobrecord.Record) {
	if c.out {
		return
	}
	first := caroboffset.Offset(0)
	if stream == carobstream.Profiles {
		first = c.first
	}
	var kept []carobrecord.Record
	for _, rc := range records {
		if rc.Offset >= first {
			kept = append(kept, rc)
		}
	}
	next := caroboffset.Offset(len(c.streams[stream]))
	c.send(n, logLatency, carobinbox.Inbox{Records: kept, StreamBounds: []carobstreambounds.StreamBounds{{Stream: stream, First: first, Next: next}}})
}

// append appends a record and passes it on to all.
func (c *cluster) append(stream carobstream.Stream, data []byte) caroboffset.Offset {
	rc := carobrecord.Record{Stream: stream, Offset: caroboffset.Offset(len(c.streams[stream])), Data: data}
	c.streams[stream] = append(c.streams[stream], rc)
	for _, n := range c.nodes {
		c.give(n, stream, []carobrecord.Record{rc})
	}
	return rc.Offset
}

func (c *cluster) send(to *node, after time.Duration, in carobinbox.Inbox) {
	heap.Push(&c.posts, post{at: c.now.Add(after), order: c.posts.count, to: to, in: in})
	c.posts.count++
}

// step runs a tick of a node and carries its effects out.
func (c *cluster) step(n *node, in carobinbox.Inbox) {
	if n.dead {
		return
	}
	out := n.core.Tick(c.now, in)
	n.stopped = n.stopped || out.Stopped
	for _, au := range out.Audits {
		n.audits[au.Component+" "+au.To]++
	}
	n.waiting = append(n.waiting, out.Appends...)
	if !c.out {
		for _, ap := range n.waiting {
			c.append(ap.Stream, ap.Data)
		}
		n.waiting = nil
	}
	batches := map[carobaddress.Address]*carobbatch.Batch{}
	var order []carobaddress.Address
	for _, ms := range out.Messages {
		if batches[ms.To] == nil {
			batches[ms.To] = &carobbatch.Batch{}
			order = append(order, ms.To)
		}
		batches[ms.To].Messages = append(batches[ms.To].Messages, ms)
	}
	for _, ad := range order {
		c.carry(n, ad, batches[ad])
	}
}

// carry sends a batch through the codec, as the transport does.
func (c *cluster) carry(from *node, to carobaddress.Address, bt *carobbatch.Batch) {
	data, err := c.codec.Marshal(bt)
	require.NoError(c.t, err)
	from.bytes += len(data) + envelope
	from.batches++
	receiver := c.there[to]
	if receiver == nil || receiver.dead || c.cut(from, receiver) {
		return
	}
	var copied carobbatch.Batch
	require.NoError(c.t, c.codec.Unmarshal(data, &copied))
	for i := range copied.Messages {
		require.NoError(c.t, copied.Messages[i].Check())
	}
	c.send(receiver, latency, carobinbox.Inbox{Messages: copied.Messages})
}

// run lets time pass.
func (c *cluster) run(d time.Duration) {
	c.runUntil(d, func() bool { return false })
}

// runUntil lets time pass until something is so, at most d, and returns how long
// it took.
func (c *cluster) runUntil(d time.Duration, done func() bool) time.Duration {
	start, end := c.now, c.now.Add(d)
	for !done() {
		n, in, at := c.next()
		if n == nil || at > end {
			c.now = end
			break
		}
		if c.now >= at {
			c.still++
			require.Less(c.t, c.still, stuck, "the clock stands still")
		} else {
			c.still = 0
		}
		c.now = max(c.now, at)
		c.step(n, in)
	}
	return c.now.Sub(start)
}

// next returns the node whose turn it is, when, and with what.
func (c *cluster) next() (next *node, in carobinbox.Inbox, at carobinstant.Instant) {
	for _, n := range c.nodes {
		if wake := n.core.Wake(); !n.dead && wake.Before(at) {
			next, at = n, wake
		}
	}
	if len(c.posts.list) > 0 && (next == nil || c.posts.list[0].at <= at) {
		ps, _ := heap.Pop(&c.posts).(post)
		return ps.to, ps.in, ps.at
	}
	return next, in, at
}

// posts is a queue of posts, the earliest first.
type posts struct {
	list  []post
	count int
}

func (p *posts) Len() int { return len(p.list) }
func (p *posts) Less(i, j int) bool {
	if p.list[i].at != p.list[j].at {
		return p.list[i].at < p.list[j].at
	}
	return p.list[i].order < p.list[j].order
}
func (p *posts) Swap(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] }
func (p *posts) Push(x any) {
	ps, _ := x.(post)
	p.list = append(p.list, ps)
}

func (p *posts) Pop() any {
	last := p.list[len(p.list)-1]
	p.list = p.list[:len(p.list)-1]
	return last
}
