package fuzz

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/internal/carobcodec"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// simulation simulates several nodes, their targets, the network and the log in virtual
// time, with one random source. A place is the index of a VM.
type simulation struct {
	scheduler
	random *rand.Rand
	codec  *carobcodec.Codec
	oracle *oracle
	log    *fakeLog
	// nodes holds the newest incarnation of the node at each place.
	nodes   []*node
	targets []*fakeTarget
	plan    plan
	// operator is nil in simulations without organisations.
	operator *operator
	// links holds the state of each direction between two places.
	links map[link]linkState
	// lastFault is when each direction last changed its state. The node of a place counts
	// as a link from the place to itself.
	lastFault map[link]time.Duration
	// lossRate and duplicateRate are the shares of control messages that are lost and
	// duplicated.
	lossRate, duplicateRate float64
	// maxExtraDelay is the maximum extra delay of a message.
	maxExtraDelay time.Duration
	// incarnations counts the nodes started, and ticks the ticks of all cores.
	incarnations, ticks int
	// kinds counts the errors that callers received.
	kinds map[carobkind.Kind]int
	// quotas is the load of organisations with quotas; nil if there are none.
	quotas *quotaLoad
	// keyCount counts the idempotency keys that were used once only.
	keyCount int
}

// link is one direction between two places.
type link struct{ from, to int }

// linkState is the state of a link.
type linkState int

const (
	linkUp linkState = iota
	// linkReset refuses new connections and resets open ones.
	linkReset
	// linkBlackhole drops everything without an error.
	linkBlackhole
)

// services lists the services and the execution guarantee of their profiles, as the setting
// once has it.
var services = []struct {
	name      carobservice.Service
	guarantee string
}{{"lookups", "no"}, {"declarations", "call"}, {"payouts", "key"}}

const (
	// networkDelay and localDelay are the usual delays between two places and within one.
	// jitter at most doubles them; a requested tick runs within localDelay.
	networkDelay = 500 * time.Microsecond
	localDelay   = 50 * time.Microsecond
	// callDuration is the minimum time that a target takes for a call.
	callDuration = 3 * time.Millisecond
	// announceInterval is the time between two announcements of a target.
	announceInterval = time.Second
	// pollInterval is the time between two reads of a stream, and retryDelay the delay
	// after a failed request to the log.
	pollInterval = 50 * time.Millisecond
	retryDelay   = 200 * time.Millisecond
	// dialTimeout is when a connection attempt without an answer fails.
	dialTimeout = time.Second
	// exitDelay is how long a node that has shut down still refuses offers before its
	// process ends.
	exitDelay = time.Second
)

// newSimulation starts a node and a target of each service at each place.
func newSimulation(seed uint64, places int, plan plan) *simulation {
	codec, err := carobcodec.NewCodec()
	if err != nil {
		panic(err)
	}
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), codec: codec, oracle: newOracle(), plan: plan,
		kinds: map[carobkind.Kind]int{}, links: map[link]linkState{}, lastFault: map[link]time.Duration{}, log: &fakeLog{streams: map[carobstream.Stream]*fakeStream{}},
	}
	s.now = 1
	if plan.organisations {
		s.operator = newOperator(s)
	}
	for place := range places {
		for _, service := range services {
			id := carobtargetid.ID{Service: service.name, Name: carobname.Name(fmt.Sprintf("t%d", place))}
			target := &fakeTarget{sim: s, id: id, place: place, durationFactor: 1, address: carobaddress.Address(fmt.Sprintf("10.0.1.%d:%d", place, len(s.targets)+1))}
			s.targets = append(s.targets, target)
			if plan.coldTargets {
				// Targets with incarnations are known by their names alone.
				target.id.Name = carobname.Name(fmt.Sprintf("t%d", len(s.targets)))
				target.setCold(coldWindow, true)
			}
			target.announcePeriodically()
		}
		s.nodes = append(s.nodes, nil)
		s.startNode(place)
	}
	for _, service := range services {
		s.publish(string(service.name), service.guarantee, 2*time.Second, -1)
	}
	return s
}

// elapsed returns the virtual time since the start.
func (s *simulation) elapsed() time.Duration { return time.Duration(s.now) }

// peerAddress returns the peer address of every node at a place.
func peerAddress(place int) carobaddress.Address {
	return carobaddress.Address(fmt.Sprintf("10.0.0.%d:7002", place))
}

// jitter returns a random duration between a minimum and twice as much.
func (s *simulation) jitter(minimum time.Duration) time.Duration {
	return minimum + time.Duration(s.random.Int64N(int64(minimum)+1))
}

// transitTime returns the delay of a message between two places.
func (s *simulation) transitTime() time.Duration {
	return s.jitter(networkDelay) + time.Duration(s.random.Int64N(int64(s.maxExtraDelay)+1))
}

// chance returns true with a probability.
func (s *simulation) chance(probability float64) bool { return s.random.Float64() < probability }

// nodeAt returns the running node at a peer address, or nil.
func (s *simulation) nodeAt(address carobaddress.Address) *node {
	for _, n := range s.nodes {
		if n.alive && n.self.PeerAddress == address {
			return n
		}
	}
	return nil
}

// sendMessage sends a control message to its node through the codec, as between processes.
func (s *simulation) sendMessage(from int, message carobmessage.Message) {
	data, err := s.codec.Marshal(message)
	if err != nil {
		s.oracle.recordViolation("message cannot be encoded: %v", err)
		return
	}
	copies := 1
	if s.chance(s.duplicateRate) {
		copies = 2
	}
	for range copies {
		if s.chance(s.lossRate) {
			continue
		}
		s.after(s.transitTime(), func() {
			n := s.nodeAt(message.To)
			if n == nil || s.links[link{from, n.place}] != linkUp {
				return
			}
			var copied carobmessage.Message
			if err := s.codec.Unmarshal(data, &copied); err != nil {
				s.oracle.recordViolation("message cannot be decoded: %v", err)
				return
			}
			if err := copied.Check(); err != nil {
				s.oracle.recordViolation("message is invalid: %v", err)
				return
			}
			n.after(0, func() {
				n.enqueue(func(in *carobinbox.Inbox) { in.Messages = append(in.Messages, copied) })
			})
		})
	}
}

// connectedSince returns the time from which on two places have been connected without any
// fault. It returns the present time if there is a fault.
func (s *simulation) connectedSince(a, b int) time.Duration {
	since := time.Duration(0)
	for _, l := range []link{{a, b}, {b, a}, {a, a}, {b, b}} {
		since = max(since, s.lastFault[l])
	}
	for _, n := range []*node{s.nodes[a], s.nodes[b]} {
		if !n.alive || n.frozen {
			return s.elapsed()
		}
	}
	if s.lossRate > 0 || s.maxExtraDelay > 0 || s.links[link{a, b}] != linkUp || s.links[link{b, a}] != linkUp {
		return s.elapsed()
	}
	return since
}

// setLink changes the state of a link.
func (s *simulation) setLink(direction link, state linkState) {
	s.links[direction], s.lastFault[direction] = state, s.elapsed()
	if state == linkReset {
		s.resetAttempts(direction)
	}
}

// resetAttempts closes the connections of the attempts from one place to another.
func (s *simulation) resetAttempts(direction link) {
	for _, sent := range s.nodes[direction.from].openAttempts {
		if sent.place == direction.to {
			sent.fail(carobkind.ConnectionLost)
		}
	}
}

// maxStopTime is the time within which a graceful shutdown must end: calls take at most
// 2 s, the settlements of keyed calls at most 3 s, and other nodes receive refusals for 1 s.
const maxStopTime = 7 * time.Second

// endFaults ends all faults and starts the nodes that have ended.
func (s *simulation) endFaults() {
	for l := range s.links {
		s.lastFault[l] = s.elapsed()
	}
	s.links = map[link]linkState{}
	s.lossRate, s.duplicateRate, s.maxExtraDelay = 0, 0, 0
	s.log.unavailable, s.log.extraDelay, s.log.lostResponses = false, 0, 0
	if s.operator != nil {
		s.operator.mend()
	}
	for place, n := range s.nodes {
		n.thaw()
		s.lastFault[link{place, place}] = s.elapsed()
		switch {
		case !n.alive:
			s.startNode(place)
		case n.stopping:
			s.after(maxStopTime, func() {
				if n.alive {
					s.oracle.recordViolation("node %s does not shut down in time", n.self.Node)
				}
				s.startNode(place)
			})
		}
	}
	for _, target := range s.targets {
		target.fixedStatus, target.durationFactor = 0, 1
		target.setReadiness(carobreadiness.Ready)
	}
}

// publish appends a change of a profile to the log, as an operator does. base is the
// offset of the revision that it replaces; -1 if there is none.
func (s *simulation) publish(profile, guarantee string, deadline time.Duration, base int64) {
	record := fmt.Sprintf(`{"profile":{"name":%q,"once":%q,"deadline":%q,"base":%d,"refuse":%t},"who":"op"}`,
		profile, guarantee, deadline, base, notRunOn503(carobservice.Service(profile)))
	s.appendLog(carobstream.Profiles, []byte(record), func(bool) {})
}

// notRunOn503 returns whether the profile of a service says that a response with status
// 503 means that the call did not run.
func notRunOn503(service carobservice.Service) bool { return service != "declarations" }

// currentRevision returns the offset of the newest accepted change of a profile; -1 if
// there is none.
func (s *simulation) currentRevision(profile string) int64 {
	if all := s.oracle.accepted[profile]; len(all) > 0 {
		return all[len(all)-1].offset
	}
	return -1
}

// appendLog appends a record. It calls finished with whether the log has confirmed the
// record; a record that is not confirmed may be in the log.
func (s *simulation) appendLog(stream carobstream.Stream, data []byte, finished func(sure bool)) {
	s.after(s.jitter(networkDelay)+s.log.extraDelay, func() {
		if s.log.unavailable {
			finished(false)
			return
		}
		stored := s.log.stream(stream)
		offset := stored.appendRecord(data)
		if stream == carobstream.Profiles && s.oracle.profileAppended(int64(offset), data) {
			s.checkPropagation(int64(offset), data)
		}
		lost := s.log.lostResponses > 0
		if lost {
			s.log.lostResponses--
		}
		s.after(s.jitter(networkDelay), func() { finished(!lost) })
	})
}

// maxPropagationTime is the time within which a change must be in force at all nodes that
// can reach the log.
const maxPropagationTime = 5 * time.Second

// checkPropagation checks that an accepted change is in force within maxPropagationTime at
// every node that could read the log all the time, or was connected to a node that could.
func (s *simulation) checkPropagation(offset int64, data []byte) {
	var record struct{ Profile struct{ Name string } }
	mustDecode(data, &record)
	accepted := s.elapsed()
	s.after(maxPropagationTime, func() {
		for _, n := range s.nodes {
			if n.reachedLogSince(accepted) && s.oracle.inForce[string(n.self.Node)+"/"+record.Profile.Name] < offset {
				s.oracle.recordViolation("node %s does not have revision %d of %s in force after %s", n.self.Node, offset, record.Profile.Name, maxPropagationTime)
			}
		}
	})
}

// fakeTarget simulates a target that answers each call with the body of the call.
type fakeTarget struct {
	sim       *simulation
	id        carobtargetid.ID
	place     int
	address   carobaddress.Address
	readiness carobreadiness.Readiness
	// withdrawn is true once the target has withdrawn. A target that is down neither
	// answers calls nor announces itself.
	withdrawn, down bool
	// fixedStatus is the status of all its responses, which are immediate; 0 for normal
	// responses.
	fixedStatus int
	// durationFactor multiplies callDuration; 1 is normal.
	durationFactor int
	// cold is zero in a plan without cold targets.
	cold coldState
	// learned has the incarnation and the sequence of the newest announcement that has reached
	// the target's node.
	learned coldState
}

// announcePeriodically announces the target to its node each announceInterval.
func (t *fakeTarget) announcePeriodically() {
	if t.readiness == "" {
		t.readiness = carobreadiness.Ready
	}
	t.announce()
	t.sim.after(announceInterval, t.announcePeriodically)
}

// setReadiness changes the readiness of the target and announces it. A target that was
// down or withdrawn returns.
func (t *fakeTarget) setReadiness(readiness carobreadiness.Readiness) {
	if t.sim.plan.coldTargets && (t.withdrawn || t.down) {
		t.setCold(coldWindow, true)
	}
	t.readiness, t.withdrawn, t.down = readiness, false, false
	t.announce()
}

// withdraw announces that the target has withdrawn.
func (t *fakeTarget) withdraw() {
	t.withdrawn = true
	t.announce()
}

// announce sends an announcement to the node at the same place.
func (t *fakeTarget) announce() {
	if t.down || t.place >= len(t.sim.nodes) || t.sim.nodes[t.place] == nil {
		return
	}
	n, announcement := t.sim.nodes[t.place], carobannouncement.Announcement{
		Target: t.id, Withdrawn: t.withdrawn, Address: t.address, Profile: carobname.Name(t.id.Service),
		Slots: 2, Connections: 8, Readiness: t.readiness,
	}
	if t.sim.plan.coldTargets {
		t.cold.sequence++
		announcement.Incarnation, announcement.Sequence = carobincarnation.Incarnation(t.cold.incarnation), t.cold.sequence
		announcement.WarmupLeft = carobduration.Duration(t.coldLeft())
	}
	n.after(localDelay, func() {
		n.enqueue(func(in *carobinbox.Inbox) { in.Announcements = append(in.Announcements, announcement) })
	})
}

// run runs a call and responds after the time that it takes.
func (t *fakeTarget) run(call, body string, respond func(status int, body string)) {
	switch {
	case t.fixedStatus == 503:
		t.sim.oracle.targetRefused(call)
		if !notRunOn503(t.id.Service) && t.sim.chance(0.5) {
			t.sim.oracle.callRan(call, body)
		}
		t.sim.after(localDelay, func() { respond(503, body) })
	case t.fixedStatus != 0:
		t.sim.oracle.callRan(call, body)
		t.sim.after(localDelay, func() { respond(t.fixedStatus, body) })
	default:
		t.sim.oracle.callRan(call, body)
		t.sim.after(t.sim.jitter(callDuration)*time.Duration(t.durationFactor), func() { respond(200, body) })
	}
}

// targetAt returns the target at an address, or nil.
func (s *simulation) targetAt(address carobaddress.Address) *fakeTarget {
	for _, target := range s.targets {
		if target.address == address {
			return target
		}
	}
	return nil
}
