// Package capacity measures what membership, ticks and idle nodes cost, and tests gossip
// and failure detection in clusters of simulated size. It contains only test files; those
// that measure need the build tag capacity.
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
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobretriedappend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// messageLatency is the delay of a message, and logLatency that of a record of the
	// log.
	messageLatency = time.Millisecond
	logLatency     = 5 * time.Millisecond
	// batchOverhead is the approximate number of bytes that HTTP/2 adds to a batch and its
	// response.
	batchOverhead = 120
	// maxTicksPerInstant is more than the ticks that can run at one instant. Beyond it the
	// cluster would loop without end.
	maxTicksPerInstant = 2_000_000
)

// cluster runs several cores in one process, with a simulated network, log and clock. The
// clock moves on as soon as the cores have handled all that is due.
type cluster struct {
	t     testing.TB
	codec *carobcodec.Codec
	now   carobinstant.Instant
	// nodes is in the order of their start; byAddress holds the newest node at each peer
	// address.
	nodes      []*node
	byAddress  map[carobaddress.Address]*node
	deliveries deliveryQueue
	// drops returns whether a message is lost.
	drops func(from, to *node) bool
	// streams holds the records of the log.
	streams map[carobstream.Stream][]carobrecord.Record
	// logUnavailable makes appends and reads of the nodes fail.
	logUnavailable bool
	// ticksAtInstant counts the ticks since the clock last moved.
	ticksAtInstant int
	// firstProfile is the offset of the oldest record that the log still keeps in the
	// stream of profiles.
	firstProfile caroboffset.Offset
}

// node is one core, and what it sent.
type node struct {
	core *carobcore.Core
	self carobmember.Member
	// dead nodes neither receive messages nor run ticks.
	dead bool
	// stopped is true once the node has shut down gracefully.
	stopped bool
	// bytes and batches count what the node sent to others, and farBytes the part of bytes that
	// went to other data centres.
	bytes, batches, farBytes int
	// quotaBytes and quotaMessages count the messages about quotas among them, each as if it were
	// a batch of its own.
	quotaBytes, quotaMessages int
	// audits counts audits by component and new value.
	audits map[string]int
	// pendingAppends holds the appends that wait for the log.
	pendingAppends []carobretriedappend.RetriedAppend
}

// delivery is an input of a node at an instant. Deliveries of one instant arrive in the
// order in which they were sent.
type delivery struct {
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
		t: tb, codec: codec, now: carobinstant.Instant(time.Hour), byAddress: map[carobaddress.Address]*node{},
		drops: func(_, _ *node) bool { return false }, streams: map[carobstream.Stream][]carobrecord.Record{},
	}
}

// addNodes starts a number of nodes, spread over regions and data centres, with one target
// each.
func (c *cluster) addNodes(count int) {
	c.t.Helper()
	for range count {
		c.startNode(len(c.nodes), 1)
	}
}

// startNode starts an incarnation of the node with a number, which decides its name,
// region, data centre and address.
func (c *cluster) startNode(number int, incarnation carobincarnation.Incarnation) *node {
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
	c.byAddress[n.self.PeerAddress] = n
	for stream, records := range c.streams {
		c.deliverRecords(n, stream, records)
	}
	c.tick(n, carobinbox.Inbox{})
	c.announce(n, fmt.Sprint("service-", number%services), carobreadiness.Ready)
	return n
}

// announce announces the target of a service to its node.
func (c *cluster) announce(n *node, service string, state carobreadiness.Readiness) {
	c.tick(n, carobinbox.Inbox{Announcements: []carobannouncement.Announcement{{
		Target:  carobtargetid.ID{Service: carobservice.Service(service), Name: carobname.Name(n.self.Node)},
		Address: "127.0.0.1:8000", Profile: "lookups", Slots: 12, Connections: 200, Readiness: state,
	}}})
}

// deliverRecords sends records of the log to a node, except expired ones, unless the log
// is unavailable.
func (c *cluster) deliverRecords(n *node, stream carobstream.Stream, records []carobrecord.Record) {
	if c.logUnavailable {
		return
	}
	first := caroboffset.Offset(0)
	if stream == carobstream.Profiles {
		first = c.firstProfile
	}
	var kept []carobrecord.Record
	for _, record := range records {
		if record.Offset >= first {
			kept = append(kept, record)
		}
	}
	next := caroboffset.Offset(len(c.streams[stream]))
	c.send(n, logLatency, carobinbox.Inbox{Records: kept, StreamBounds: []carobstreambounds.StreamBounds{{Stream: stream, First: first, Next: next, AtEnd: true}}})
}

// append appends a record to the log, which sends it to all nodes.
func (c *cluster) append(stream carobstream.Stream, data []byte) caroboffset.Offset {
	record := carobrecord.Record{Stream: stream, Offset: caroboffset.Offset(len(c.streams[stream])), Data: data}
	c.streams[stream] = append(c.streams[stream], record)
	for _, n := range c.nodes {
		c.deliverRecords(n, stream, []carobrecord.Record{record})
	}
	return record.Offset
}

// send schedules an input of a node.
func (c *cluster) send(to *node, delay time.Duration, in carobinbox.Inbox) {
	heap.Push(&c.deliveries, delivery{at: c.now.Add(delay), order: c.deliveries.count, to: to, in: in})
	c.deliveries.count++
}

// tick runs a tick of a node and carries out its effects.
func (c *cluster) tick(n *node, in carobinbox.Inbox) {
	if n.dead {
		return
	}
	out := n.core.Tick(c.now, in)
	n.stopped = n.stopped || out.Stopped
	for _, audit := range out.Audits {
		n.audits[audit.Component+" "+audit.To]++
	}
	n.pendingAppends = append(n.pendingAppends, out.RetriedAppends...)
	if !c.logUnavailable {
		for _, request := range n.pendingAppends {
			c.append(request.Stream, request.Data)
		}
		n.pendingAppends = nil
	}
	batches := map[carobaddress.Address]*carobbatch.Batch{}
	var order []carobaddress.Address
	for _, message := range out.Messages {
		c.countQuotaMessage(n, message)
		if batches[message.To] == nil {
			batches[message.To] = &carobbatch.Batch{}
			order = append(order, message.To)
		}
		batches[message.To].Messages = append(batches[message.To].Messages, message)
	}
	for _, address := range order {
		c.sendBatch(n, address, batches[address])
	}
}

// countQuotaMessage counts a message about quotas.
func (c *cluster) countQuotaMessage(n *node, message carobmessage.Message) {
	if message.QuotaRequest == nil && message.QuotaReply == nil {
		return
	}
	data, err := c.codec.Marshal(&carobbatch.Batch{Messages: []carobmessage.Message{message}})
	require.NoError(c.t, err)
	n.quotaBytes += len(data) + batchOverhead
	n.quotaMessages++
}

// sendBatch sends a batch of messages through the codec, as the transport does.
func (c *cluster) sendBatch(from *node, to carobaddress.Address, batch *carobbatch.Batch) {
	data, err := c.codec.Marshal(batch)
	require.NoError(c.t, err)
	from.bytes += len(data) + batchOverhead
	from.batches++
	receiver := c.byAddress[to]
	if receiver != nil && receiver.self.Centre != from.self.Centre {
		from.farBytes += len(data) + batchOverhead
	}
	if receiver == nil || receiver.dead || c.drops(from, receiver) {
		return
	}
	var copied carobbatch.Batch
	require.NoError(c.t, c.codec.Unmarshal(data, &copied))
	for i := range copied.Messages {
		require.NoError(c.t, copied.Messages[i].Check())
	}
	c.send(receiver, messageLatency, carobinbox.Inbox{Messages: copied.Messages})
}

// run runs the cluster for a duration.
func (c *cluster) run(duration time.Duration) {
	c.runUntil(duration, func() bool { return false })
}

// runUntil runs the cluster until done returns true, or until the limit, and returns the
// time that this took.
func (c *cluster) runUntil(limit time.Duration, done func() bool) time.Duration {
	start, end := c.now, c.now.Add(limit)
	for !done() {
		n, in, at := c.nextEvent()
		if n == nil || at > end {
			c.now = end
			break
		}
		if c.now >= at {
			c.ticksAtInstant++
			require.Less(c.t, c.ticksAtInstant, maxTicksPerInstant, "the clock does not move on")
		} else {
			c.ticksAtInstant = 0
		}
		c.now = max(c.now, at)
		c.tick(n, in)
	}
	return c.now.Sub(start)
}

// nextEvent returns the node that runs the next tick, its input and the instant; nil if
// nothing is due any more.
func (c *cluster) nextEvent() (next *node, in carobinbox.Inbox, at carobinstant.Instant) {
	for _, n := range c.nodes {
		if wake := n.core.Wake(); !n.dead && wake.Before(at) {
			next, at = n, wake
		}
	}
	if len(c.deliveries.list) > 0 && (next == nil || c.deliveries.list[0].at <= at) {
		delivery, _ := heap.Pop(&c.deliveries).(delivery)
		return delivery.to, delivery.in, delivery.at
	}
	return next, in, at
}

// deliveryQueue is a heap of deliveries, the earliest first.
type deliveryQueue struct {
	list  []delivery
	count int
}

func (p *deliveryQueue) Len() int { return len(p.list) }
func (p *deliveryQueue) Less(i, j int) bool {
	if p.list[i].at != p.list[j].at {
		return p.list[i].at < p.list[j].at
	}
	return p.list[i].order < p.list[j].order
}
func (p *deliveryQueue) Swap(i, j int) { p.list[i], p.list[j] = p.list[j], p.list[i] }
func (p *deliveryQueue) Push(x any) {
	delivery, _ := x.(delivery)
	p.list = append(p.list, delivery)
}

func (p *deliveryQueue) Pop() any {
	last := p.list[len(p.list)-1]
	p.list = p.list[:len(p.list)-1]
	return last
}
