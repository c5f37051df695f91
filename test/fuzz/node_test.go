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
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// node is one life of a node: its core, and what its traffic goroutines do.
type node struct {
	s     *simulation
	place int
	self  carobmember.Member
	core  *carobcore.Core
	// skew is what the node's clock differs by.
	skew  time.Duration
	inbox carobinbox.Inbox
	// ticking says that a tick is due at once; alarms counts alarms set.
	ticking          bool
	alarms           int
	alive, frozen    bool
	stopping, ending bool
	thawed           []func()
	sequence         uint64
	calls            map[carobcallid.ID]*exchange
	tasks            map[carobjobid.ID]*task
	reports          map[carobtargetid.ID]carobreport.Report
	// marks and waiting have, by stream, what the last read found and what is to
	// be appended.
	marks   map[carobstream.Stream]carobstreambounds.StreamBounds
	waiting map[carobstream.Stream][]byte
	// idle counts the ticks in a row that asked for another at once.
	idle int
	// follows counts the orders to follow each stream, or to stop that.
	follows map[carobstream.Stream]int
	// open are the attempts on their way to other places.
	open       []*attempt
	born, died time.Duration
	// first has the first revision of each profile, for a mutation.
	first map[string]carobrevision.Revision
	// logless is when the node last could not read the log.
	logless time.Duration
}

// ordered returns the rows of a map in one order, so that runs repeat.
func ordered[K interface {
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

func mustDecode(data []byte, into any) {
	if err := json.Unmarshal(data, into); err != nil {
		panic(err)
	}
}

// boot starts a new life of the node at a place.
func (s *simulation) boot(place int) {
	if old := s.nodes[place]; old != nil && old.alive {
		old.kill()
	}
	s.lives++
	n := &node{
		s: s, place: place, alive: true, born: s.elapsed(), logless: s.elapsed(),
		marks: map[carobstream.Stream]carobstreambounds.StreamBounds{}, follows: map[carobstream.Stream]int{}, waiting: map[carobstream.Stream][]byte{},
		skew:  time.Duration(s.random.Int64N(int64(time.Hour))),
		calls: map[carobcallid.ID]*exchange{}, tasks: map[carobjobid.ID]*task{}, reports: map[carobtargetid.ID]carobreport.Report{},
		self: carobmember.Member{
			Node: carobnodeid.ID(fmt.Sprintf("n%d", place)), Incarnation: carobincarnation.Incarnation(s.lives),
			Region: "bavaria", Centre: "west", PeerAddress: peerAddress(place),
		},
	}
	measure := carobprobelimits.NewProbeLimits()
	if s.plan.checked {
		measure.ChecksPerSecond = checks
	}
	n.core = carobcore.NewCore(carobcore.Config{
		World: carobworld.Config{Self: n.self, Limits: caroblimits.NewLimits(), ProbeLimits: measure, Seed: s.random.Uint64()},
		Seeds: []carobaddress.Address{peerAddress(0), peerAddress(1)},
	})
	s.nodes[place] = n
	s.parted[link{place, place}] = s.elapsed()
	n.ring()
	for _, stream := range []carobstream.Stream{carobstream.Profiles, carobstream.Nodes} {
		n.tail(stream, 0)
	}
	n.join()
	for _, tg := range s.targets {
		if tg.place == place {
			tg.announce()
		}
	}
}

// kill ends the life at once. Other ends of its connections notice, if their
// network lets them.
func (n *node) kill() {
	n.alive, n.died = false, n.s.elapsed()
	n.s.parted[link{n.place, n.place}] = n.s.elapsed()
	for _, x := range ordered(n.calls) {
		n.s.oracle.told(x.arrival.Call.String(), "gone", "")
	}
	for _, tk := range ordered(n.tasks) {
		tk.respond(carobkind.ConnectionLost, 0, "")
	}
}

// freeze stops the process; thaw lets it go on where it was.
func (n *node) freeze() {
	n.frozen = true
	n.s.parted[link{n.place, n.place}] = n.s.elapsed()
}

func (n *node) thaw() {
	held := n.thawed
	n.frozen, n.thawed = false, nil
	n.s.parted[link{n.place, n.place}] = n.s.elapsed()
	n.s.random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	for _, do := range held {
		n.do(n.s.jitter(localTime), do)
	}
}

// sound reports whether the node ran and could read the log since an instant.
func (n *node) sound(since time.Duration) bool {
	return n.running(since) && n.logless < since
}

// running reports whether the node ran without a pause since an instant.
func (n *node) running(since time.Duration) bool {
	return n.alive && !n.frozen && !n.stopping && n.born <= since && n.s.parted[link{n.place, n.place}] <= since
}

// connected reports whether the node was sound, or reached one that was.
func (n *node) connected(since time.Duration) bool {
	if n.sound(since) {
		return true
	}
	for _, other := range n.s.nodes {
		if other != n && n.running(since) && other.sound(since) && n.s.joined(n.place, other.place) <= since {
			return true
		}
	}
	return false
}

// do has the process do something after a while, unless it has ended then.
func (n *node) do(d time.Duration, do func()) {
	n.s.after(d, func() {
		switch {
		case !n.alive:
		case n.frozen:
			n.thawed = append(n.thawed, do)
		default:
			do()
		}
	})
}

// post puts something into the mailbox.
func (n *node) post(put func(in *carobinbox.Inbox)) {
	put(&n.inbox)
	n.ring()
}

func (n *node) ring() {
	if !n.ticking {
		n.ticking = true
		n.do(time.Duration(n.s.random.Int64N(int64(localTime))), n.tick)
	}
}

func (n *node) clock() carobinstant.Instant { return n.s.now.Add(n.skew) }

// tick is one round of the control goroutine.
func (n *node) tick() {
	n.ticking = false
	in := n.inbox
	n.inbox = carobinbox.Inbox{}
	n.s.steps++
	for _, an := range in.Announcements {
		n.s.oracle.knows(an.Target.String(), an.Withdrawn || an.Readiness == carobreadiness.Leaving, n.s.elapsed())
	}
	in.Announcements = slices.Clone(in.Announcements)
	n.s.plan.mutation.before(n, &in)
	out := n.core.Tick(n.clock(), in)
	n.s.plan.mutation.after(n, &in, out)
	n.observe(out)
	n.carry(out)
	n.alarms++
	alarm := n.alarms
	if wake := n.core.Wake(); wake != carobinstant.Never {
		if n.idle++; wake > n.clock() {
			n.idle = 0
		}
		if n.idle > 20 {
			n.s.oracle.complain("node %s spins: it asks to wake %s ago", n.self.Node, n.clock().Sub(wake))
		}
		n.do(max(wake.Sub(n.clock()), localTime), func() {
			if alarm == n.alarms {
				n.ring()
			}
		})
	}
}

// observe shows the oracle what the tick decided.
func (n *node) observe(out *caroboutbox.Outbox) {
	o, now := n.s.oracle, n.s.elapsed()
	for _, st := range out.Starts {
		o.started(n.s.targetAt(st.Address).id.String(), st.Job.String())
	}
	for _, sd := range out.Sends {
		for _, tg := range n.s.targets {
			if tg.id == sd.Target {
				o.sent(tg.id.String(), sd.Job.String(), now, n.s.joined(n.place, tg.place))
			}
		}
	}
	for name, rv := range n.core.World().Profiles.All() {
		if n.core.World().AwaitingLog {
			break
		}
		o.holds(string(n.self.Node), string(name), int64(rv.Offset), rv.Change.Profile.Deadline.String())
	}
	for _, ms := range out.Messages {
		if bytes := measuring(n.s, ms); bytes > 0 {
			o.measured(string(n.self.Node), bytes, now, float64(n.core.World().ProbeLimits.BytesPerSecond))
		}
	}
}

// carry does what the traffic goroutines do with the effects of a tick.
func (n *node) carry(out *caroboutbox.Outbox) {
	n.carryJobs(out)
	n.carryCalls(out)
	n.carryClaims(out)
	for _, ck := range out.HealthChecks {
		n.check(ck)
	}
	for _, ms := range out.Messages {
		n.s.carry(n.place, ms)
	}
	for _, ap := range out.Appends {
		n.append(ap.Stream, ap.Data)
	}
	if out.Stopped && !n.ending {
		n.ending = true
		n.do(goodbye, n.exit)
	}
}

// exit ends the process after a graceful shutdown.
func (n *node) exit() {
	if len(n.calls) > 0 {
		n.s.oracle.complain("node %s stops with %d calls open", n.self.Node, len(n.calls))
	}
	for job, tk := range n.tasks {
		if tk.started {
			n.s.oracle.complain("node %s stops while job %s runs", n.self.Node, job)
		}
	}
	n.kill()
}

// stop asks for a graceful shutdown.
func (n *node) stop() {
	n.stopping = true
	n.s.parted[link{n.place, n.place}] = n.s.elapsed()
	n.post(func(in *carobinbox.Inbox) {
		if in.Stop = true; n.s.plan.checked {
			in.ShutdownDeadline = n.clock().Add(ending)
		}
	})
}

// tail follows a stream of the log.
func (n *node) tail(stream carobstream.Stream, next caroboffset.Offset) {
	lg := n.s.log
	if lg.out || lg.slow > retryPause {
		n.logless = n.s.elapsed()
		n.do(retryPause, func() { n.tail(stream, next) })
		return
	}
	n.do(n.s.jitter(hopTime)+lg.slow, func() {
		st := lg.of(stream)
		from := max(next, st.first)
		end := st.first + caroboffset.Offset(len(st.records))
		records := make([]carobrecord.Record, 0, end-from)
		for _, rc := range st.records[from-st.first:] {
			rc.Stream = stream
			records = append(records, rc)
		}
		mark := carobstreambounds.StreamBounds{Stream: stream, First: st.first, Next: end}
		if mark != n.marks[stream] || len(records) > 0 {
			n.marks[stream] = mark
			n.post(func(in *carobinbox.Inbox) {
				in.Records, in.StreamBounds = append(in.Records, records...), append(in.StreamBounds, mark)
			})
		}
		n.do(tailPause, func() { n.tail(stream, end) })
	})
}

// join announces the node in the log.
func (n *node) join() {
	data, err := json.Marshal(n.self)
	if err != nil {
		panic(err)
	}
	n.append(carobstream.Nodes, data)
}

// append appends a record until that is certain, unless a newer one for the
// stream takes its place. So the record may stand in the log more than once.
func (n *node) append(stream carobstream.Stream, data []byte) {
	_, busy := n.waiting[stream]
	n.waiting[stream] = data
	if !busy {
		n.tryAppend(stream)
	}
}

func (n *node) tryAppend(stream carobstream.Stream) {
	data := n.waiting[stream]
	n.s.appendLog(stream, data, func(sure bool) {
		n.do(0, func() {
			switch {
			case !sure:
				n.do(retryPause, func() { n.tryAppend(stream) })
			case string(data) != string(n.waiting[stream]):
				n.tryAppend(stream)
			default:
				delete(n.waiting, stream)
			}
		})
	})
}
