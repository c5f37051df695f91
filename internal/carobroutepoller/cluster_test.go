package carobroutepoller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
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
	storeTimeout = 5 * time.Second
	// storeDelay and networkDelay are how long a response of the store and a message
	// between nodes take.
	storeDelay, networkDelay = 4 * time.Millisecond, time.Millisecond
	// warmup is how long a cluster runs before a test disturbs it.
	warmup = 5 * time.Second
)

// clusterNode is a node without targets: its core, its control goroutine and its poller.
type clusterNode struct {
	id carobnodeid.ID
	// mailbox and control are those of the newest process.
	mailbox atomic.Pointer[carobmailbox.Mailbox]
	control atomic.Pointer[carobcontrol.Control]
	// stop ends the node's goroutines, and stopped is true from then on.
	stop    context.CancelFunc
	stopped bool
	// incarnation is that of the node's process, and version the version of its route table.
	incarnation carobincarnation.Incarnation
	version     atomic.Uint64
}

// Execute records the version of the route table in force.
func (n *clusterNode) Execute(out *caroboutbox.Outbox) {
	n.version.Store(uint64(out.RoutesVersion))
}

// cluster is a set of nodes that exchange messages in memory, and their store.
type cluster struct {
	t     *testing.T
	timer *carobtimer.Timer
	store *store
	nodes []*clusterNode
	// processMutex guards the processes of the nodes while they are stopped and restarted.
	processMutex sync.Mutex
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
	// loses reports whether a message is lost; nil if none is.
	loses func(from, to carobnodeid.ID) bool
	// delays returns how much longer than networkDelay a message takes; nil if none does.
	delays func(from, to carobnodeid.ID) time.Duration
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
		c.nodes = append(c.nodes, &clusterNode{id: carobnodeid.ID(fmt.Sprintf("n%03d", i))})
		c.byAddress[address(i)] = c.nodes[i]
	}
	for i := range c.nodes {
		c.start(ctx, i)
	}
	return c
}

// runCluster runs a test in virtual time, with a cluster whose nodes know each other.
func runCluster(t *testing.T, size int, run func(ctx context.Context, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := newCluster(ctx, t, size)
		require.NoError(t, c.timer.Wait(ctx, warmup))
		run(ctx, c)
	})
}

func address(i int) carobaddress.Address {
	const perNetwork = 250
	return carobaddress.Address(fmt.Sprintf("10.0.%d.%d:7002", i/perNetwork, i%perNetwork+1))
}

// start starts the goroutines of a node.
func (c *cluster) start(ctx context.Context, i int) {
	const centres = 3
	node := c.nodes[i]
	node.incarnation++
	mailbox := carobmailbox.NewMailbox()
	node.mailbox.Store(mailbox)
	core := carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{
			Self: carobmember.Member{
				Node: node.id, Incarnation: node.incarnation, Region: "r", Centre: carobcentre.Centre(fmt.Sprintf("c%d", i%centres)), PeerAddress: address(i),
			},
			Limits: caroblimits.NewLimits(), Seed: uint64(i), //nolint:gosec // i is small
		},
		Seeds: []carobaddress.Address{address(0), address(1)},
	})
	logger, _ := test.NewNullLogger()
	poller := carobroutepoller.NewRoutePoller(carobroutepoller.Config{
		Source: &storeReader{store: c.store, node: node.id}, Mailbox: mailbox, Timer: c.timer, Logger: logrus.NewEntry(logger),
	})
	control := carobcontrol.NewControl(carobcontrol.Config{Core: core, Mailbox: mailbox, Timer: c.timer})
	control.AddExecutor(poller)
	control.AddExecutor(c)
	control.AddExecutor(node)
	node.control.Store(control)
	ctx, node.stop = context.WithCancel(ctx)
	go control.Run(ctx)
	go poller.Run(ctx)
}

// stop ends some nodes without notice.
func (c *cluster) stop(nodes ...int) {
	c.processMutex.Lock()
	defer c.processMutex.Unlock()
	for _, i := range nodes {
		c.nodes[i].stop()
		c.nodes[i].stopped = true
	}
}

// restart starts a process in place of one that was stopped.
func (c *cluster) restart(ctx context.Context, i int) {
	c.processMutex.Lock()
	defer c.processMutex.Unlock()
	c.nodes[i].stop()
	c.start(ctx, i)
	c.nodes[i].stopped = false
}

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
			if receiver == nil || c.disconnected.Load() || c.isLost(message.From, receiver.id) {
				return
			}
			receiver.mailbox.Load().Post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, message) })
		})
		deliver(c.timer.Now().Add(c.transit(message.From, receiver)))
	}
}

// isLost reports whether a message is lost.
func (c *cluster) isLost(from, to carobnodeid.ID) bool {
	c.delayMutex.Lock()
	defer c.delayMutex.Unlock()
	return c.loses != nil && c.loses(from, to)
}

// transit returns how long a message takes.
func (c *cluster) transit(from carobnodeid.ID, to *clusterNode) time.Duration {
	c.delayMutex.Lock()
	defer c.delayMutex.Unlock()
	if to != nil && c.delays != nil {
		return networkDelay + c.delays(from, to.id)
	}
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
	require.NoError(c.t, node.control.Load().Query(ctx, func(world *carobworld.World) {
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
