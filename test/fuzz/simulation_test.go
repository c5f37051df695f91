package fuzz

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// simulation is several nodes, their targets, the network and the log, all in
// virtual time and with one source of chance.
type simulation struct {
	schedule
	random *rand.Rand
	codec  *carobcodec.Codec
	oracle *oracle
	log    *fakeLog
	// nodes has the node at each place, the newest incarnation.
	nodes   []*node
	targets []*fakeTarget
	plan    plan
	// links has the state of each direction between two places.
	links map[link]state
	// parted has when a link, or a place as a link to itself, last had a fault.
	parted map[link]time.Duration
	// loss and doubling are shares of control messages.
	loss, doubling float64
	// slowness is the most extra time that a message takes.
	slowness time.Duration
	// lives counts incarnations; steps counts ticks of cores.
	lives, steps int
	// kinds counts the errors that callers were told.
	kinds map[carobkind.Kind]int
	// keys counts idempotency keys.
	keys int
}

type link struct{ from, to int }

// state is how a direction between two places behaves.
type state int

const (
	open state = iota
	// refusing connections, and breaking the open ones.
	cut
	// silent: nothing comes through and nobody is told.
	silent
)

// services, with how often their calls may run.
var services = []struct {
	name carobservice.Service
	once string
}{{"lookups", "no"}, {"declarations", "call"}, {"payouts", "key"}}

const (
	hopTime    = 500 * time.Microsecond
	localTime  = 50 * time.Microsecond
	callTime   = 3 * time.Millisecond
	heartbeat  = time.Second
	tailPause  = 50 * time.Millisecond
	retryPause = 200 * time.Millisecond
	dialTime   = time.Second
	// goodbye is how long a node that has nothing left still refuses offers.
	goodbye = time.Second
)

// newSimulation starts nodes with a target of each service on each VM.
func newSimulation(seed uint64, places int, p plan) *simulation {
	codec, err := carobcodec.NewCodec()
	if err != nil {
		panic(err)
	}
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), codec: codec, oracle: newOracle(), plan: p,
		kinds: map[carobkind.Kind]int{}, links: map[link]state{}, parted: map[link]time.Duration{}, log: &fakeLog{streams: map[carobstream.Stream]*fakeStream{}},
	}
	s.now = 1
	for place := range places {
		for _, sv := range services {
			id := carobtargetid.ID{Service: sv.name, Name: carobname.Name(fmt.Sprintf("t%d", place))}
			tg := &fakeTarget{s: s, id: id, place: place, pace: 1, address: carobaddress.Address(fmt.Sprintf("10.0.1.%d:%d", place, len(s.targets)+1))}
			s.targets = append(s.targets, tg)
			tg.beat()
		}
		s.nodes = append(s.nodes, nil)
		s.boot(place)
	}
	for _, sv := range services {
		s.publish(string(sv.name), sv.once, 2*time.Second, -1)
	}
	return s
}

// elapsed is the time of the simulation for the oracle.
func (s *simulation) elapsed() time.Duration { return time.Duration(s.now) }

func peerAddress(place int) carobaddress.Address {
	return carobaddress.Address(fmt.Sprintf("10.0.0.%d:7002", place))
}

// jitter returns a time between d and twice d.
func (s *simulation) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Int64N(int64(d)+1))
}

// transit is how long a message is on its way.
func (s *simulation) transit() time.Duration {
	return s.jitter(hopTime) + time.Duration(s.random.Int64N(int64(s.slowness)+1))
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

// at returns the running node at a peer address, or nil.
func (s *simulation) at(ad carobaddress.Address) *node {
	for _, n := range s.nodes {
		if n.alive && n.self.PeerAddress == ad {
			return n
		}
	}
	return nil
}

// carry takes a control message to its node, encoded as between processes.
func (s *simulation) carry(from int, ms carobmessage.Message) {
	data, err := s.codec.Marshal(ms)
	if err != nil {
		s.oracle.complain("message cannot be encoded: %v", err)
		return
	}
	copies := 1
	if s.chance(s.doubling) {
		copies = 2
	}
	for range copies {
		if s.chance(s.loss) {
			continue
		}
		s.after(s.transit(), func() {
			n := s.at(ms.To)
			if n == nil || s.links[link{from, n.place}] != open {
				return
			}
			var copied carobmessage.Message
			if err := s.codec.Unmarshal(data, &copied); err != nil {
				s.oracle.complain("message cannot be decoded: %v", err)
				return
			}
			n.do(0, func() {
				n.post(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, copied) })
			})
		})
	}
}

// joined returns since when two places reach each other without any fault.
func (s *simulation) joined(a, b int) time.Duration {
	since := time.Duration(0)
	for _, l := range []link{{a, b}, {b, a}, {a, a}, {b, b}} {
		since = max(since, s.parted[l])
	}
	for _, n := range []*node{s.nodes[a], s.nodes[b]} {
		if !n.alive || n.frozen {
			return s.elapsed()
		}
	}
	if s.loss > 0 || s.slowness > 0 || s.links[link{a, b}] != open || s.links[link{b, a}] != open {
		return s.elapsed()
	}
	return since
}

// setLink changes a direction between two places.
func (s *simulation) setLink(l link, st state) {
	s.links[l], s.parted[l] = st, s.elapsed()
	if st == cut {
		s.breakAttempts(l)
	}
}

// breakAttempts cuts the open attempts from one place to another.
func (s *simulation) breakAttempts(l link) {
	for _, at := range s.nodes[l.from].open {
		if at.peer == l.to {
			at.fail(carobkind.ConnectionLost)
		}
	}
}

// stopBound is how long a node may take to stop: calls have 2 s at most, outcomes
// of keyed calls 3 s to be told, other nodes 1 s to hear of it.
const stopBound = 7 * time.Second

// heal ends all faults.
func (s *simulation) heal() {
	for l := range s.links {
		s.parted[l] = s.elapsed()
	}
	s.links = map[link]state{}
	s.loss, s.doubling, s.slowness = 0, 0, 0
	s.log.out, s.log.slow, s.log.lose = false, 0, 0
	for place, n := range s.nodes {
		n.thaw()
		s.parted[link{place, place}] = s.elapsed()
		switch {
		case !n.alive:
			s.boot(place)
		case n.stopping:
			s.after(stopBound, func() {
				if n.alive {
					s.oracle.complain("node %s does not stop", n.self.Node)
				}
				s.boot(place)
			})
		}
	}
	for _, tg := range s.targets {
		tg.status, tg.pace = 0, 1
		tg.turn(carobreadiness.Ready)
	}
}

// publish appends a change of a profile as an operator does.
func (s *simulation) publish(name, once string, deadline time.Duration, base int64) {
	record := fmt.Sprintf(`{"profile":{"name":%q,"once":%q,"deadline":%q,"base":%d,"refuse":%t},"who":"op"}`,
		name, once, deadline, base, refuses(carobservice.Service(name)))
	s.appendLog(carobstream.Profiles, []byte(record), func(bool) {})
}

// refuses says whether a 503 of a service's targets proves that nothing ran.
func refuses(service carobservice.Service) bool { return service != "declarations" }

// current returns the revision that an operator would change next.
func (s *simulation) current(profile string) int64 {
	if all := s.oracle.accepted[profile]; len(all) > 0 {
		return all[len(all)-1].offset
	}
	return -1
}

// appendLog appends a record and tells whether it is certain to be in the log.
func (s *simulation) appendLog(stream carobstream.Stream, data []byte, told func(sure bool)) {
	s.after(s.jitter(hopTime)+s.log.slow, func() {
		if s.log.out {
			told(false)
			return
		}
		st := s.log.of(stream)
		offset := st.add(data)
		if stream == carobstream.Profiles && s.oracle.appended(int64(offset), data) {
			s.watch(int64(offset), data)
		}
		lost := s.log.lose > 0
		if lost {
			s.log.lose--
		}
		s.after(s.jitter(hopTime), func() { told(!lost) })
	})
}

const forceBound = 5 * time.Second

// watch checks that an accepted change is in force in time at every node that
// could read the log all the while, or reached one that could.
func (s *simulation) watch(offset int64, data []byte) {
	var record struct{ Profile struct{ Name string } }
	mustDecode(data, &record)
	accepted := s.elapsed()
	s.after(forceBound, func() {
		for _, n := range s.nodes {
			if n.connected(accepted) && s.oracle.force[string(n.self.Node)+"/"+record.Profile.Name] < offset {
				s.oracle.complain("node %s does not have revision %d of %s in force after %s", n.self.Node, offset, record.Profile.Name, forceBound)
			}
		}
	})
}

// fakeTarget is a target: it runs calls and answers with their bodies.
type fakeTarget struct {
	s       *simulation
	id      carobtargetid.ID
	place   int
	address carobaddress.Address
	state   carobreadiness.Readiness
	// gone says that the target has withdrawn; down that it answers nothing.
	gone, down bool
	// status is what it answers at once in place of running, if not 0.
	status int
	// pace multiplies the time that a call takes.
	pace int
}

// beat announces the target to its node again and again.
func (t *fakeTarget) beat() {
	if t.state == "" {
		t.state = carobreadiness.Ready
	}
	t.announce()
	t.s.after(heartbeat, t.beat)
}

// turn changes the target's state and announces it.
func (t *fakeTarget) turn(st carobreadiness.Readiness) {
	t.state, t.gone, t.down = st, false, false
	t.announce()
}

func (t *fakeTarget) withdraw() {
	t.gone = true
	t.announce()
}

func (t *fakeTarget) announce() {
	if t.down || t.place >= len(t.s.nodes) || t.s.nodes[t.place] == nil {
		return
	}
	n, an := t.s.nodes[t.place], carobannouncement.Announcement{
		Target: t.id, Withdrawn: t.gone, Address: t.address, Profile: carobname.Name(t.id.Service),
		Slots: 2, Connections: 8, Readiness: t.state,
	}
	n.do(localTime, func() {
		n.post(func(in *carobinbox.Inbox) { in.Announcements = append(in.Announcements, an) })
	})
}

// run runs a call, and answers in its time.
func (t *fakeTarget) run(call, body string, answer func(status int, body string)) {
	switch {
	case t.status == 503:
		t.s.oracle.replied(call)
		if !refuses(t.id.Service) && t.s.chance(0.5) {
			t.s.oracle.ran(call, body)
		}
		t.s.after(localTime, func() { answer(503, body) })
	case t.status != 0:
		t.s.oracle.ran(call, body)
		t.s.after(localTime, func() { answer(t.status, body) })
	default:
		t.s.oracle.ran(call, body)
		t.s.after(t.s.jitter(callTime)*time.Duration(t.pace), func() { answer(200, body) })
	}
}

// targetAt returns the target at an address.
func (s *simulation) targetAt(ad carobaddress.Address) *fakeTarget {
	for _, tg := range s.targets {
		if tg.address == ad {
			return tg
		}
	}
	return nil
}
