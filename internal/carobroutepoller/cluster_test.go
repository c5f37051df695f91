package carobroutepoller_test

import (
	"context"
	"fmt"
	"sync"
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
	// readAt has when each node began its last read.
	readAt map[carobnodeid.ID]carobinstant.Instant
	// silent has the nodes that get no response.
	silent map[carobnodeid.ID]bool
}

// publish replaces the route table and wakes the reads that are held.
func (s *store) publish(table *carobroutetable.RouteTable) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table = table
	close(s.changed)
	s.changed = make(chan struct{})
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
}

// AwaitRoutes returns the store's table once it is newer than the last one returned, or
// nil after wait. A node that the store gives no response gets an error after the timeout.
func (r *storeReader) AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error) {
	r.store.mutex.Lock()
	r.store.readAt[r.node] = r.store.timer.Now()
	r.store.mutex.Unlock()
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
	if err := r.store.timer.Wait(ctx, storeDelay); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
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
}

// cluster is a set of nodes that exchange messages in memory, and their store.
type cluster struct {
	t     *testing.T
	timer *carobtimer.Timer
	store *store
	nodes []*clusterNode
	// byAddress has the nodes by their peer address.
	byAddress map[carobaddress.Address]*clusterNode
}

// newCluster starts nodes in three data centres, whose operator has published a table
// that routes all calls to the service "old".
func newCluster(ctx context.Context, t *testing.T, size int) *cluster {
	t.Helper()
	timer := carobtimer.NewTimer()
	go timer.Run(ctx)
	c := &cluster{t: t, timer: timer, byAddress: map[carobaddress.Address]*clusterNode{}, store: &store{
		timer: timer, table: routesTo(t, 1, "old"), changed: make(chan struct{}),
		readAt: map[carobnodeid.ID]carobinstant.Instant{}, silent: map[carobnodeid.ID]bool{},
	}}
	for i := range size {
		c.nodes = append(c.nodes, &clusterNode{id: carobnodeid.ID(fmt.Sprintf("n%02d", i)), mailbox: carobmailbox.NewMailbox()})
		c.byAddress[address(i)] = c.nodes[i]
	}
	for i := range c.nodes {
		c.start(ctx, i)
	}
	return c
}

func address(i int) carobaddress.Address {
	return carobaddress.Address(fmt.Sprintf("10.0.0.%d:7002", i+1))
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
	go node.control.Run(ctx)
	go poller.Run(ctx)
}

// Execute delivers the messages of a tick.
func (c *cluster) Execute(out *caroboutbox.Outbox) {
	for _, message := range out.Messages {
		receiver := c.byAddress[message.To]
		deliver := c.timer.Subscribe(func() {
			receiver.mailbox.Post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, message) })
		})
		deliver(c.timer.Now().Add(networkDelay))
	}
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
	const size, silenced, step = 12, 4, 300 * time.Millisecond
	for delay := time.Duration(0); delay < 3*time.Second; delay += step {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c := newCluster(ctx, t, size)
				require.NoError(t, c.timer.Wait(ctx, warmup))
				c.store.silenceLastReaders(silenced)
				require.NoError(t, c.timer.Wait(ctx, delay))
				c.store.publish(routesTo(t, 2, "new"))
				require.NoError(t, c.timer.Wait(ctx, applyTimeout))
				for _, node := range c.nodes {
					if _, _, answers := c.store.state(node.id); answers {
						require.EqualValues(t, "new", c.handledBy(ctx, node), "node %s", node.id)
					}
				}
			})
		})
	}
}
