package fuzz

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// node is one incarnation of a node: its core, and the simulated traffic goroutines.
type node struct {
	sim *simulation
	// place is the index of the node's VM.
	place int
	self  carobmember.Member
	core  *carobcore.Core
	// skew is how far the node's clock is ahead of the simulation.
	skew  time.Duration
	inbox carobinbox.Inbox
	// tickDue is true while a tick is scheduled for immediately.
	tickDue bool
	// wakeCount counts the wake-ups scheduled; only the latest one has an effect.
	wakeCount     int
	alive, frozen bool
	// stopping is true once a graceful shutdown was requested, and exiting once it is
	// complete.
	stopping, exiting bool
	// deferred holds what became due while the node was frozen.
	deferred []func()
	sequence uint64
	calls    map[carobcallid.ID]*entryCall
	jobs     map[carobjobid.ID]*targetJob
	// reports holds the newest report of each target.
	reports map[carobtargetid.ID]carobreport.Report
	// bounds holds the bounds of each stream at the last read.
	bounds map[carobstream.Stream]carobstreambounds.StreamBounds
	// pendingAppends holds the record that is to be appended to each stream.
	pendingAppends map[carobstream.Stream][]byte
	// immediateTicks counts the consecutive ticks that requested another one immediately.
	immediateTicks int
	// subscriptionOrders counts the orders to subscribe to each stream or unsubscribe.
	subscriptionOrders map[carobstream.Stream]int
	// openAttempts holds all attempts sent to other nodes, ended ones included.
	openAttempts       []*attempt
	startedAt, endedAt time.Duration
	// firstRevisions holds the first revision of each profile, for a mutation.
	firstRevisions map[string]carobrevision.Revision
	// firstTable is the first route table, for a mutation.
	firstTable *carobroutetable.RouteTable
	// logUnreadableAt is when the node last could not read the log.
	logUnreadableAt time.Duration
	// storeReadableSince is the first read of the operator's store that succeeded since the
	// node was last cut off from it; neverReadable before.
	storeReadableSince time.Duration
	// readingTable is true while a read of the store is under way, failedReads is the number
	// of consecutive ones that failed, and tableVersion the newest version that was read.
	readingTable bool
	failedReads  int
	tableVersion carobrouteversion.Version
}

// sortedValues returns the values of a map sorted by key, so that runs with one seed are
// equal.
func sortedValues[K interface {
	comparable
	String() string
}, V any](rows map[K]V) []V {
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b K) int { return strings.Compare(a.String(), b.String()) })
	values := make([]V, 0, len(keys))
	for _, key := range keys {
		values = append(values, rows[key])
	}
	return values
}

func mustDecode(data []byte, value any) {
	if err := json.Unmarshal(data, value); err != nil {
		panic(err)
	}
}

// startNode starts a new incarnation of the node at a place. It kills the one that runs.
func (s *simulation) startNode(place int) {
	if old := s.nodes[place]; old != nil && old.alive {
		old.kill()
	}
	s.incarnations++
	n := &node{
		sim: s, place: place, alive: true, startedAt: s.elapsed(), logUnreadableAt: s.elapsed(), storeReadableSince: neverReadable,
		bounds: map[carobstream.Stream]carobstreambounds.StreamBounds{}, subscriptionOrders: map[carobstream.Stream]int{}, pendingAppends: map[carobstream.Stream][]byte{},
		skew:  time.Duration(s.random.Int64N(int64(time.Hour))),
		calls: map[carobcallid.ID]*entryCall{}, jobs: map[carobjobid.ID]*targetJob{}, reports: map[carobtargetid.ID]carobreport.Report{},
		self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", place)), Incarnation: carobincarnation.Incarnation(s.incarnations),
			Region: "bavaria", Centre: "west", PeerAddress: peerAddress(place),
		},
	}
	probeLimits := carobprobelimits.NewProbeLimits()
	if s.plan.healthChecks {
		probeLimits.ChecksPerSecond = checksPerSecond
	}
	n.core = carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{Self: n.self, Limits: caroblimits.NewLimits(), ProbeLimits: probeLimits, Seed: s.random.Uint64()},
		Seeds: []carobaddress.Address{peerAddress(0), peerAddress(1)},
	})
	s.nodes[place] = n
	s.lastFault[link{place, place}] = s.elapsed()
	n.requestTick()
	if s.plan.coldTargets {
		n.deliverTable()
	}
	for _, stream := range []carobstream.Stream{carobstream.Profiles, carobstream.Nodes} {
		n.readStream(stream, 0)
	}
	n.appendMember()
	for _, target := range s.targets {
		if target.place == place {
			target.announce()
		}
	}
}

// kill ends the process at once. Peers see their connections close, unless the link
// drops this.
func (n *node) kill() {
	n.alive, n.endedAt = false, n.sim.elapsed()
	n.sim.lastFault[link{n.place, n.place}] = n.sim.elapsed()
	for _, call := range sortedValues(n.calls) {
		n.sim.oracle.callEnded(call.arrival.Call.String(), "gone", "")
	}
	for _, job := range sortedValues(n.jobs) {
		job.respond(carobkind.ConnectionLost, 0, "")
	}
}

// freeze suspends the process until thaw.
func (n *node) freeze() {
	n.frozen = true
	n.sim.lastFault[link{n.place, n.place}] = n.sim.elapsed()
}

// thaw resumes the process. What became due meanwhile runs in random order.
func (n *node) thaw() {
	deferred := n.deferred
	n.frozen, n.deferred = false, nil
	n.sim.lastFault[link{n.place, n.place}] = n.sim.elapsed()
	n.sim.random.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, run := range deferred {
		n.after(n.sim.jitter(localDelay), run)
	}
}

// readLogSince reports whether the node has run without a pause since an instant and could
// read the log all the time.
func (n *node) readLogSince(since time.Duration) bool {
	return n.runningSince(since) && n.logUnreadableAt < since
}

// runningSince reports whether the node has run without a pause since an instant.
func (n *node) runningSince(since time.Duration) bool {
	return n.alive && !n.frozen && !n.stopping && n.startedAt <= since && n.sim.lastFault[link{n.place, n.place}] <= since
}

// reachedLogSince reports whether the node could read the log since an instant, or was
// connected to a node that could.
func (n *node) reachedLogSince(since time.Duration) bool {
	if n.readLogSince(since) {
		return true
	}
	for _, other := range n.sim.nodes {
		if other != n && n.runningSince(since) && other.readLogSince(since) && n.sim.connectedSince(n.place, other.place) <= since {
			return true
		}
	}
	return false
}

// after runs a function in the process after a delay, unless the process has ended by
// then. If the process is frozen then, the function waits for the thaw.
func (n *node) after(delay time.Duration, run func()) {
	n.sim.after(delay, func() {
		switch {
		case !n.alive:
		case n.frozen:
			n.deferred = append(n.deferred, run)
		default:
			run()
		}
	})
}

// enqueue changes the input of the next tick and schedules that tick.
func (n *node) enqueue(put func(in *carobinbox.Inbox)) {
	put(&n.inbox)
	n.requestTick()
}

// requestTick schedules a tick for immediately, unless one is.
func (n *node) requestTick() {
	if !n.tickDue {
		n.tickDue = true
		n.after(time.Duration(n.sim.random.Int64N(int64(localDelay))), n.tick)
	}
}

// clock returns the time of the node's own clock.
func (n *node) clock() carobinstant.Instant { return n.sim.now.Add(n.skew) }

// tick runs one tick of the control goroutine and schedules the next wake-up.
func (n *node) tick() {
	n.tickDue = false
	in := n.inbox
	n.inbox = carobinbox.Inbox{}
	n.sim.ticks++
	for _, announcement := range in.Announcements {
		if n.sim.plan.coldTargets && !n.sim.targetAt(announcement.Address).learn(announcement) {
			continue
		}
		n.sim.oracle.learnedLeaving(announcement.Target.String(), announcement.Withdrawn || announcement.Readiness == carobreadiness.Leaving, n.sim.elapsed())
	}
	in.Announcements = slices.Clone(in.Announcements)
	n.receiveArrivals(&in)
	n.sim.plan.mutation.beforeTick(n, &in)
	out := n.core.Tick(n.clock(), in)
	n.sim.plan.mutation.afterTick(n, &in, out)
	n.observe(out)
	n.applyEffects(out)
	n.wakeCount++
	count := n.wakeCount
	if wake := n.core.Wake(); wake != carobinstant.Never {
		if n.immediateTicks++; wake > n.clock() {
			n.immediateTicks = 0
		}
		if n.immediateTicks > 20 {
			n.sim.oracle.recordViolation("node %s spins: it requests a wake-up %s in the past", n.self.Node, n.clock().Sub(wake))
		}
		n.after(max(wake.Sub(n.clock()), localDelay), func() {
			if count == n.wakeCount {
				n.requestTick()
			}
		})
	}
}

// observe reports the decisions of a tick to the oracle.
func (n *node) observe(out *caroboutbox.Outbox) {
	oracle, now := n.sim.oracle, n.sim.elapsed()
	n.sim.quotas.observe(n, out)
	for _, start := range out.Starts {
		target := n.sim.targetAt(start.Address)
		oracle.jobStarted(target.id.String(), start.Job.String())
		oracle.startedCold(target.id.String(), target.cold.known && target.coldLeft() > 0, now, min(target.cold.from, n.startedAt))
	}
	for _, send := range out.Sends {
		for _, target := range n.sim.targets {
			if target.id == send.Target {
				oracle.attemptSent(target.id.String(), send.Job.String(), now, n.sim.connectedSince(n.place, target.place))
			}
		}
	}
	for name, revision := range n.core.World().Profiles.All() {
		if n.core.World().AwaitingLog {
			break
		}
		oracle.revisionInForce(string(n.self.Node), string(name), int64(revision.Offset), revision.Change.Profile.Deadline.String())
	}
	for _, message := range out.Messages {
		if bytes := probeSize(n.sim, message); bytes > 0 {
			oracle.probeSent(string(n.self.Node), bytes, now, float64(n.core.World().ProbeLimits.BytesPerSecond))
		}
	}
}

// applyEffects carries out the effects of a tick as the traffic goroutines do.
func (n *node) applyEffects(out *caroboutbox.Outbox) {
	n.applyJobEffects(out)
	n.applyCallEffects(out)
	n.applyClaimEffects(out)
	n.applyStoreEffects(out)
	for _, check := range out.HealthChecks {
		n.runHealthCheck(check)
	}
	for _, message := range out.Messages {
		n.sim.sendMessage(n.place, message)
	}
	for _, request := range out.RetriedAppends {
		n.append(request.Stream, request.Data)
	}
	if out.Stopped && !n.exiting {
		n.exiting = true
		n.after(exitDelay, n.exit)
	}
}

// exit ends the process after a graceful shutdown.
func (n *node) exit() {
	if len(n.calls) > 0 {
		n.sim.oracle.recordViolation("node %s exits with %d calls in flight", n.self.Node, len(n.calls))
	}
	for id, job := range n.jobs {
		if job.started {
			n.sim.oracle.recordViolation("node %s exits while job %s runs", n.self.Node, id)
		}
	}
	n.kill()
}

// stop requests a graceful shutdown.
func (n *node) stop() {
	n.stopping = true
	n.sim.lastFault[link{n.place, n.place}] = n.sim.elapsed()
	n.enqueue(func(in *carobinbox.Inbox) {
		if in.Stop = true; n.sim.plan.healthChecks {
			in.ShutdownDeadline = n.clock().Add(shutdownTime)
		}
	})
}

// readStream polls a stream of the log from an offset on.
func (n *node) readStream(stream carobstream.Stream, next caroboffset.Offset) {
	log := n.sim.log
	if log.unavailable || log.extraDelay > retryDelay {
		n.logUnreadableAt = n.sim.elapsed()
		n.after(retryDelay, func() { n.readStream(stream, next) })
		return
	}
	n.after(n.sim.jitter(networkDelay)+log.extraDelay, func() {
		stored := log.stream(stream)
		from := max(next, stored.first)
		end := stored.first + caroboffset.Offset(len(stored.records))
		records := make([]carobrecord.Record, 0, end-from)
		for _, record := range stored.records[from-stored.first:] {
			record.Stream = stream
			records = append(records, record)
		}
		bounds := carobstreambounds.StreamBounds{Stream: stream, First: stored.first, Next: end, AtEnd: true}
		if bounds != n.bounds[stream] || len(records) > 0 {
			n.bounds[stream] = bounds
			n.enqueue(func(in *carobinbox.Inbox) {
				in.Records, in.StreamBounds = append(in.Records, records...), append(in.StreamBounds, bounds)
			})
		}
		n.after(pollInterval, func() { n.readStream(stream, end) })
	})
}

// appendMember appends the node's description to the log.
func (n *node) appendMember() {
	data, err := json.Marshal(n.self)
	if err != nil {
		panic(err)
	}
	n.append(carobstream.Nodes, data)
}

// append appends a record and retries until the log confirms it, unless a newer record
// for the stream replaces it. The log may therefore contain the record more than once.
func (n *node) append(stream carobstream.Stream, data []byte) {
	_, busy := n.pendingAppends[stream]
	n.pendingAppends[stream] = data
	if !busy {
		n.tryAppend(stream)
	}
}

// tryAppend sends the pending record of a stream to the log until it is confirmed.
func (n *node) tryAppend(stream carobstream.Stream) {
	data := n.pendingAppends[stream]
	n.sim.appendLog(stream, data, func(sure bool) {
		n.after(0, func() {
			switch {
			case !sure:
				n.after(retryDelay, func() { n.tryAppend(stream) })
			case string(data) != string(n.pendingAppends[stream]):
				n.tryAppend(stream)
			default:
				delete(n.pendingAppends, stream)
			}
		})
	})
}
