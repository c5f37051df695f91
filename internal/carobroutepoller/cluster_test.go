package carobroutepoller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobcontrol"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobroutepoller"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// applyTimeout is the time within which a route table that the store acknowledged must
	// be in force on all nodes that can reach the store.
	applyTimeout = 2 * time.Second
	// storeTimeout is the timeout of a request to the store, besides the time that the store
	// may hold it.
	storeTimeout = time.Second
	// storeDelay and networkDelay are how long a response of the store and a message
	// between nodes take.
	storeDelay, networkDelay = 4 * time.Millisecond, time.Millisecond
	// warmup is how long a cluster runs before a test disturbs it.
	warmup = 5 * time.Second
)

// store holds the operator's newest route table.
type store struct {
	timer *carobtimer.Timer
	mutex sync.Mutex
	table *carobroutetable.RouteTable
	// changed is closed and replaced whenever the table changes.
	changed chan struct{}
	// readAt has when each node began its last read, and reads is the number of all reads.
	readAt map[carobnodeid.ID]carobinstant.Instant
	reads  int
	// missingHeld is true if a change does not end the reads that the store holds.
	missingHeld bool
	// evacuated has the data centres that the operator has evacuated, as of the position end.
	evacuated []carobcentre.Centre
	end       caroboffset.Offset
	// silent has the nodes that get no response.
	silent map[carobnodeid.ID]bool
}

// publish replaces the route table and wakes the reads that are held.
func (s *store) publish(table *carobroutetable.RouteTable) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table = table
	if !s.missingHeld {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// missHeld makes the store end the reads that it holds only when their time is over.
func (s *store) missHeld() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.missingHeld = true
}

func (s *store) readCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

// begin records a read of a node.
func (s *store) begin(node carobnodeid.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readAt[node] = s.timer.Now()
	s.reads++
}

// silenceLastReaders makes the store give no response to the n nodes that read last.
func (s *store) silenceLastReaders(n int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range n {
		var last carobnodeid.ID
		for node, at := range s.readAt {
			if !s.silent[node] && (last == "" || s.readAt[last].Before(at)) {
				last = node
			}
		}
		s.silent[last] = true
	}
}

// state returns the table, the channel that is closed when it changes, and whether a node
// gets responses.
func (s *store) state(node carobnodeid.ID) (*carobroutetable.RouteTable, chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table, s.changed, !s.silent[node]
}

// storeReader reads the store for one node.
type storeReader struct {
	store *store
	node  carobnodeid.ID
	mutex sync.Mutex
	// returned is the version of the newest table that was returned.
	returned carobrouteversion.Version
	// evacuations are what the last response had of them.
	evacuations carobevacuationlist.EvacuationList
}

// Evacuations returns what the last successful read found.
func (r *storeReader) Evacuations() carobevacuationlist.EvacuationList {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evacuations
}

// AwaitRoutes returns the store's table once it is newer than the last one returned, or
// nil after wait. A node that the store gives no response gets an error after the timeout.
func (r *storeReader) AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error) {
	r.store.begin(r.node)
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	held, release := context.WithTimeout(ctx, wait)
	defer release()
	for {
		table, changed, answers := r.store.state(r.node)
		if !answers {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if table.Version > r.version() || held.Err() != nil {
			return r.respond(ctx, table)
		}
		select {
		case <-held.Done():
		case <-changed:
		}
	}
}

// respond returns the table if it is newer than the last one returned, or else nil.
func (r *storeReader) respond(ctx context.Context, table *carobroutetable.RouteTable) (*carobroutetable.RouteTable, error) {
	evacuations := r.store.listEvacuations()
	if err := r.store.timer.Wait(ctx, storeDelay); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.evacuations = evacuations
	if table.Version <= r.returned {
		return nil, nil
	}
	r.returned = table.Version
	return table, nil
}

func (r *storeReader) version() carobrouteversion.Version {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.returned
}

// clusterNode is a node without targets: its core, its control goroutine and its poller.
type clusterNode struct {
	id      carobnodeid.ID
	mailbox *carobmailbox.Mailbox
	control *carobcontrol.Control
	// stop ends the node's goroutines, and stopped is true from then on.
	stop    context.CancelFunc
	stopped bool
}

// cluster is a set of nodes that exchange messages in memory, and their store.
type cluster struct {
	t     *testing.T
	timer *carobtimer.Timer
	store *store
	nodes []*clusterNode
	// byAddress has the nodes by their peer address.
	byAddress map[carobaddress.Address]*clusterNode
	// disconnected is true if no message arrives.
	disconnected atomic.Bool
	// delayed has the nodes whose messages, sent and received, take from minDelay to maxDelay.
	// delayMutex guards all of it.
	delayMutex         sync.Mutex
	delayed            map[carobnodeid.ID]bool
	minDelay, maxDelay time.Duration
	random             *rand.Rand
}

// newCluster starts nodes in three data centres, whose operator has published a table
// that routes all calls to the service "old".
func newCluster(ctx context.Context, t *testing.T, size int) *cluster {
	t.Helper()
	timer := carobtimer.NewTimer()
	go timer.Run(ctx)
	c := &cluster{t: t, timer: timer, delayed: map[carobnodeid.ID]bool{}, random: rand.New(rand.NewPCG(1, 1)), byAddress: map[carobaddress.Address]*clusterNode{}, store: &store{
		timer: timer, table: routesTo(t, 1, "old"), changed: make(chan struct{}),
		readAt: map[carobnodeid.ID]carobinstant.Instant{}, silent: map[carobnodeid.ID]bool{},
	}}
	for i := range size {
		c.nodes = append(c.nodes, &clusterNode{id: carobnodeid.ID(fmt.Sprintf("n%03d", i)), mailbox: carobmailbox.NewMailbox()})
		c.byAddress[address(i)] = c.nodes[i]
	}
	for i := range c.nodes {
		c.start(ctx, i)
	}
	return c
}

func address(i int) carobaddress.Address {
	const perNetwork = 250
	return carobaddress.Address(fmt.Sprintf("10.0.%d.%d:7002", i/perNetwork, i%perNetwork+1))
}

// start starts the goroutines of a node.
func (c *cluster) start(ctx context.Context, i int) {
	const centres = 3
	node := c.nodes[i]
	core := carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self: carobmember.Member{
				Node: node.id, Incarnation: 1, Region: "r", Centre: carobcentre.Centre(fmt.Sprintf("c%d", i%centres)), PeerAddress: address(i),
			},
			Limits: caroblimits.NewLimits(), Seed: uint64(i), //nolint:gosec // i is small
		},
		Seeds: []carobaddress.Address{address(0), address(1)},
	})
	logger, _ := test.NewNullLogger()
	poller := carobroutepoller.NewRoutePoller(carobroutepoller.Config{
		Source: &storeReader{store: c.store, node: node.id}, Mailbox: node.mailbox, Timer: c.timer, Logger: logrus.NewEntry(logger),
	})
	node.control = carobcontrol.NewControl(carobcontrol.Config{Core: core, Mailbox: node.mailbox, Timer: c.timer})
	node.control.AddExecutor(poller)
	node.control.AddExecutor(c)
	ctx, node.stop = context.WithCancel(ctx)
	go node.control.Run(ctx)
	go poller.Run(ctx)
}

// stop ends some nodes without notice.
func (c *cluster) stop(nodes ...int) {
	for _, i := range nodes {
		c.nodes[i].stop()
		c.nodes[i].stopped = true
	}
}

// lastVersion is the version of the table that testNewTableIsAppliedInTime publishes.
const lastVersion = 1000

// publishOften publishes a table five times a second until lastVersion is there.
func (c *cluster) publishOften() {
	const interval = 200 * time.Millisecond
	version := carobrouteversion.Version(2)
	var set func(at carobinstant.Instant)
	set = c.timer.Subscribe(func() {
		if table, _, _ := c.store.state(""); table.Version == lastVersion {
			return
		}
		c.store.publish(routesTo(c.t, version, "old"))
		version++
		set(c.timer.Now().Add(interval))
	})
	set(c.timer.Now().Add(interval))
}

// Execute delivers the messages of a tick.
func (c *cluster) Execute(out *caroboutbox.Outbox) {
	for _, message := range out.Messages {
		receiver := c.byAddress[message.To]
		deliver := c.timer.Subscribe(func() {
			if receiver == nil || c.disconnected.Load() {
				return
			}
			receiver.mailbox.Post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, message) })
		})
		deliver(c.timer.Now().Add(c.transit(message.From, receiver)))
	}
}

// transit returns how long a message takes.
func (c *cluster) transit(from carobnodeid.ID, to *clusterNode) time.Duration {
	c.delayMutex.Lock()
	defer c.delayMutex.Unlock()
	if to == nil || !c.delayed[from] && !c.delayed[to.id] {
		return networkDelay
	}
	return c.minDelay + time.Duration(c.random.Int64N(int64(c.maxDelay-c.minDelay)+1))
}

// delayMessages makes the messages of some nodes take from shortest to longest, and waits
// until the nodes have exchanged some.
func (c *cluster) delayMessages(shortest, longest time.Duration, nodes ...int) {
	c.delayMutex.Lock()
	c.minDelay, c.maxDelay = shortest, longest
	for _, i := range nodes {
		c.delayed[c.nodes[i].id] = true
	}
	c.delayMutex.Unlock()
	require.NoError(c.t, c.timer.Wait(c.t.Context(), warmup))
}

// handledBy returns the service that a node routes calls to.
func (c *cluster) handledBy(ctx context.Context, node *clusterNode) carobservice.Service {
	c.t.Helper()
	var service carobservice.Service
	require.NoError(c.t, node.control.Query(ctx, func(world *carobworld.World) {
		if route := world.RouteTable.Match("a.example", "/x/"); route != nil {
			service = route.WeightedServices[0].Service
		}
	}))
	return service
}

func routesTo(t *testing.T, version carobrouteversion.Version, service carobservice.Service) *carobroutetable.RouteTable {
	t.Helper()
	table, err := carobroutetable.NewRouteTable(version, []carobroute.Route{{
		Name: "r", Host: "a.example", Prefix: "/x/", Guarantee: carobguarantee.OncePerCall, Attempts: 1,
		Timeout: carobduration.Duration(time.Second), SLO: carobduration.Duration(time.Second),
		WeightedServices: []carobweightedservice.WeightedService{{Service: service, Weight: 1}},
	}})
	require.NoError(t, err)
	return table
}

// Guards against calls that are handled by an old route table because the nodes that read the store get no response from it.
func TestNodesApplyANewTableInTimeWhileTheReadersGetNoResponse(t *testing.T) {
	const silenced = 4
	testNewTableIsAppliedInTime(t, 12, func(c *cluster) { c.store.silenceLastReaders(silenced) })
}

// Guards against nodes that rely on others, or on a read that the store holds, to learn of a new route table.
func TestNodesApplyANewTableInTime(t *testing.T) {
	for _, test := range []struct {
		name    string
		size    int
		disturb func(c *cluster)
	}{
		{"nothing fails", 12, func(*cluster) {}},
		{"one node", 1, func(*cluster) {}},
		{"no node receives messages of others", 12, func(c *cluster) { c.disconnected.Store(true) }},
		{"held reads miss the new table", 12, func(c *cluster) { c.store.missHeld() }},
		{"the readers are gone", 12, func(c *cluster) { c.stop(0, 1, 2) }},
		{"tables change several times a second", 12, func(c *cluster) { c.publishOften() }},
	} {
		t.Run(test.name, func(t *testing.T) { testNewTableIsAppliedInTime(t, test.size, test.disturb) })
	}
}

// Guards against nodes that keep an old route table since others, whose messages are slow, send them confirmations of it that look newer than they are.
func TestNodesApplyANewTableInTimeWhileMessagesAreSlow(t *testing.T) {
	const silenced = 4
	for _, test := range []struct {
		name    string
		size    int
		disturb func(c *cluster)
	}{
		{"of three nodes", 12, func(c *cluster) { c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 3, 4, 8) }},
		{"of the readers", 12, func(c *cluster) { c.delayMessages(300*time.Millisecond, 300*time.Millisecond, 0, 1, 2) }},
		{"of all nodes", 12, func(c *cluster) {
			c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		}},
		{"of three nodes, and the readers get no response", 12, func(c *cluster) {
			c.delayMessages(600*time.Millisecond, 600*time.Millisecond, 3, 7, 11)
			c.store.silenceLastReaders(silenced)
			require.NoError(c.t, c.timer.Wait(c.t.Context(), warmup))
		}},
		{"of a quarter of 60 nodes", 60, func(c *cluster) {
			c.delayMessages(300*time.Millisecond, 600*time.Millisecond, 0, 4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 44, 48, 52, 56)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { testNewTableIsAppliedInTime(t, test.size, test.disturb) })
	}
}

// testNewTableIsAppliedInTime disturbs a cluster, publishes a new table some time later, and
// requires that all nodes that the store answers route by it once the timeout has passed.
func testNewTableIsAppliedInTime(t *testing.T, size int, disturb func(c *cluster)) {
	t.Helper()
	const step = 300 * time.Millisecond
	for delay := time.Duration(0); delay < 3*time.Second; delay += step {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newCluster(ctx, t, size)
				require.NoError(t, c.timer.Wait(ctx, warmup))
				disturb(c)
				require.NoError(t, c.timer.Wait(ctx, delay))
				c.store.publish(routesTo(t, lastVersion, "new"))
				require.NoError(t, c.timer.Wait(ctx, applyTimeout))
				for _, node := range c.nodes {
					if _, _, answers := c.store.state(node.id); answers && !node.stopped {
						require.EqualValues(t, "new", c.handledBy(ctx, node), "node %s", node.id)
					}
				}
			})
		})
	}
}

// Guards against reads of the store, each of which has a price, that grow with the number of nodes.
func TestConfirmationsTakeFewReads(t *testing.T) {
	const maxReadsPerSecond = 2
	for _, size := range []int{1, 3, 12, 60, 300} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newCluster(ctx, t, size)
				require.NoError(t, c.timer.Wait(ctx, warmup))
				before := c.store.readCount()
				const seconds = 20
				require.NoError(t, c.timer.Wait(ctx, seconds*time.Second))
				t.Logf("%d nodes: %.1f reads a second", size, float64(c.store.readCount()-before)/seconds)
				require.LessOrEqual(t, c.store.readCount()-before, maxReadsPerSecond*seconds)
			})
		})
	}
}
