package carobroutepoller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// disturbanceKind is what a disturbance does to its nodes.
type disturbanceKind int

const (
	// The store gives the nodes no response, turns them away, responds late, or loses a part of
	// the responses.
	storeSilent disturbanceKind = iota
	storeRefusing
	storeSlow
	storeLosing
	// The nodes are cut off from all other nodes, but not from the store; or only what they send
	// is lost.
	nodesCut
	nodesMute
	// A part of the messages from and to the nodes is lost.
	nodesLossy
	// The nodes' messages and reads take long.
	nodesSlow
	// The control goroutines of the nodes stand still.
	nodesPaused
	// The nodes' processes are ended, and others are started in their place when it ends.
	nodesRestarted
	// drawnKinds is the number of the kinds above.
	drawnKinds
	// The nodes are busy with calls, which excuses nothing: their messages and reads take longer.
	nodesBusy = drawnKinds
)

func (k disturbanceKind) String() string {
	return [...]string{"silent", "refusing", "slow store", "losing", "cut", "mute", "lossy", "slow nodes", "paused", "restarted", "busy"}[k]
}

// concernsStore reports whether the store counts as unstable meanwhile, for all nodes.
func (k disturbanceKind) concernsStore() bool { return k <= storeLosing }

// excuses reports whether the nodes are not bound by rules meanwhile. A node that is cut off from
// other nodes is, since it still has the store.
func (k disturbanceKind) excuses() bool { return k >= nodesLossy && k != nodesBusy }

// disturbance is one thing that goes wrong. Its times are counted from the start of the search.
type disturbance struct {
	kind        disturbanceKind
	from, until time.Duration
	nodes       map[carobnodeid.ID]bool
	// delay is the delay of slow things, and share the part of what is lost.
	delay time.Duration
	share float64
}

func (d *disturbance) String() string {
	return fmt.Sprintf("%s from %s to %s, %d nodes, delay %s, share %.2f", d.kind, d.from, d.until, len(d.nodes), d.delay, d.share)
}

// holds reports whether the disturbance affects a node at a time.
func (d *disturbance) holds(node carobnodeid.ID, at time.Duration) bool {
	return d.from <= at && at < d.until && d.nodes[node]
}

// drawDisturbance returns a random disturbance of some of the nodes of a cluster.
func drawDisturbance(random *rand.Rand, c *cluster, length time.Duration) *disturbance {
	d := &disturbance{kind: disturbanceKind(random.IntN(int(drawnKinds))), nodes: map[carobnodeid.ID]bool{}}
	d.from = time.Duration(random.Int64N(int64(length)))
	d.until = d.from + time.Second + time.Duration(random.Int64N(int64(12*time.Second)))
	d.delay, d.share = 50*time.Millisecond<<random.IntN(6), 0.1+0.6*random.Float64()
	portion := []float64{0, 0.25, 0.5, 1}[random.IntN(4)]
	d.nodes[c.nodes[random.IntN(len(c.nodes))].id] = true
	for _, node := range c.nodes {
		if random.Float64() < portion {
			d.nodes[node.id] = true
		}
	}
	return d
}

// drawBusy returns a random time for which some of the nodes of a cluster are busy.
func drawBusy(random *rand.Rand, c *cluster, length time.Duration) *disturbance {
	const maxDelay = 400 * time.Millisecond
	d := drawDisturbance(random, c, length)
	d.kind, d.delay = nodesBusy, time.Duration(random.Int64N(int64(maxDelay)))
	return d
}

// disturbances are all that goes wrong during a search.
type disturbances struct {
	cluster *cluster
	random  *rand.Rand
	all     []*disturbance
	// elapsed returns the time since the search began.
	elapsed func() time.Duration
}

// install makes the store and the messages of the cluster follow the disturbances, and schedules
// the pauses and restarts.
func (d *disturbances) install(ctx context.Context) {
	c := d.cluster
	c.store.failReads(d.readFault)
	c.delayMutex.Lock()
	c.loses, c.delays = d.isLost, d.messageDelay
	c.delayMutex.Unlock()
	for _, one := range d.all {
		switch one.kind {
		case nodesPaused:
			go d.pause(ctx, one)
		case nodesRestarted:
			go d.restart(ctx, one)
		default:
		}
	}
}

func (d *disturbances) pause(ctx context.Context, one *disturbance) {
	_ = d.cluster.timer.Wait(ctx, one.from)
	for _, node := range d.cluster.nodes {
		if one.nodes[node.id] {
			go func() {
				_ = node.control.Load().Query(ctx, func(*carobworld.World) { _ = d.cluster.timer.Wait(ctx, max(0, one.until-d.elapsed())) })
			}()
		}
	}
}

func (d *disturbances) restart(ctx context.Context, one *disturbance) {
	_ = d.cluster.timer.Wait(ctx, one.from)
	for i, node := range d.cluster.nodes {
		if one.nodes[node.id] {
			d.cluster.stop(i)
		}
	}
	_ = d.cluster.timer.Wait(ctx, one.until-one.from)
	for i, node := range d.cluster.nodes {
		if one.nodes[node.id] && ctx.Err() == nil {
			d.cluster.restart(ctx, i)
		}
	}
}

// readFault returns what happens to a read of a node that begins now. The store's mutex guards the
// source of randomness.
func (d *disturbances) readFault(node carobnodeid.ID) readFault {
	fault := readFault{}
	for _, one := range d.all {
		if !one.holds(node, d.elapsed()) {
			continue
		}
		switch one.kind {
		case storeSilent:
			fault.lost = true
		case storeRefusing:
			fault.refused = true
		case storeLosing:
			fault.lost = fault.lost || d.random.Float64() < one.share
		case storeSlow, nodesSlow, nodesBusy:
			fault.delay = max(fault.delay, one.delay)
		default:
		}
	}
	return fault
}

// isLost reports whether a message that arrives now is lost. Messages to the nodes themselves are
// not.
func (d *disturbances) isLost(from, to carobnodeid.ID) bool {
	for _, one := range d.all {
		atSender, atReceiver := one.holds(from, d.elapsed()), one.holds(to, d.elapsed())
		switch {
		case one.kind == nodesCut && (atSender || atReceiver), one.kind == nodesMute && atSender:
			return true
		case one.kind == nodesLossy && (atSender || atReceiver) && d.cluster.random.Float64() < one.share:
			return true
		}
	}
	return false
}

// messageDelay returns how much longer than usual a message takes.
func (d *disturbances) messageDelay(from, to carobnodeid.ID) time.Duration {
	delay := time.Duration(0)
	for _, one := range d.all {
		if (one.kind == nodesSlow || one.kind == nodesBusy) && (one.holds(from, d.elapsed()) || one.holds(to, d.elapsed())) {
			delay = max(delay, one.delay)
		}
	}
	return delay
}

// inTouch reports whether a node is bound by the rules at a time: neither the store nor the node
// was disturbed in the last recoveryTimeout.
func (d *disturbances) inTouch(node carobnodeid.ID, at time.Duration) bool {
	for _, one := range d.all {
		concerned := one.kind.concernsStore() || one.kind.excuses() && one.nodes[node]
		if concerned && one.from <= at && at < one.until+recoveryTimeout {
			return false
		}
	}
	return true
}
