// Package carobreconciliation makes up for news that did not reach a node.
//
// Probes carry a checksum of each part of the sender's table of nodes. Where one
// differs, the receiver answers with a digest of that part: which word about each
// node it has. The two then send each other the words that the other lacks. A
// node that starts gets the whole table this way.
package carobreconciliation

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobdigest"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobthrottle"
	"github.com/carobknot/carobknot/pkg/carobversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// parts is the most parts that are compared after one probe.
	parts = 4
	// calm is the time between two comparisons while news is on its way, which
	// may be all that differs.
	calm = 2 * time.Second
	// each is about how many bytes a row of a digest takes.
	each = 60
)

// System compares tables.
type System struct {
	throttle *carobthrottle.Throttle
	// next is when tables may be compared though news is on its way.
	next carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{throttle: carobthrottle.NewThrottle(carobthrottle.Config{
		Rate: carobrate.Rate(12 * carobsize.KiB), Burst: 128 * carobsize.KiB,
	})}
}

// Run compares tables with those that probe, and answers digests.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for i := range w.Inbox.Messages {
		ms := &w.Inbox.Messages[i]
		if ms.Probe != nil && len(ms.Probe.Sums) == carobprobe.Parts {
			s.compare(w, now, ms)
		}
		if ms.Digest != nil {
			s.answer(w, now, ms)
		}
	}
}

func (s *System) compare(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message) {
	different := differences(w.Sums(), ms.Probe.Sums)
	if len(different) == 0 {
		return
	}
	if w.News.Len() > 0 && len(different) <= carobprobe.Parts/2 && s.next != carobinstant.Never && !s.next.Reached(now) {
		return
	}
	s.next = now.Add(calm)
	w.Random.Shuffle(len(different), func(i, j int) { different[i], different[j] = different[j], different[i] })
	for _, part := range different[:min(parts, len(different))] {
		rows := versions(w, part)
		if !s.throttle.Spend(now, each*len(rows)) {
			return
		}
		w.Tell(carobmessage.Message{To: ms.Back, Digest: &carobdigest.Digest{Part: part, Rows: rows}})
	}
}

func differences(a, b []uint64) []int {
	var different []int
	for i := range a {
		if a[i] != b[i] {
			different = append(different, i)
		}
	}
	return different
}

// versions returns which word about each node of a part this node has.
func versions(w *carobworld.World, part int) []carobversion.Version {
	var rows []carobversion.Version
	if carobworld.PartOf(w.Self.Node) == part {
		rows = append(rows, w.Self.Version())
	}
	for id, pr := range w.Peers.All() {
		if carobworld.PartOf(id) == part {
			rows = append(rows, pr.Member.Version())
		}
	}
	return rows
}

// answer sends the words that the sender of a digest lacks or wants, and asks for
// those that this node lacks.
func (s *System) answer(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message) {
	if len(ms.Digest.Wanted) > 0 {
		s.send(w, now, ms.Back, ms.Digest.Wanted)
		return
	}
	lacking, wanted := weigh(versions(w, ms.Digest.Part), ms.Digest.Rows)
	s.send(w, now, ms.Back, lacking)
	if len(wanted) > 0 {
		w.Tell(carobmessage.Message{To: ms.Back, Digest: &carobdigest.Digest{Part: ms.Digest.Part, Wanted: wanted}})
	}
}

// weigh returns of which nodes the others lack the newest word, and of which this
// node does. A lost node that one side has dropped stays dropped.
func weigh(own, others []carobversion.Version) (lacking, wanted []carobnodeid.ID) {
	theirs := make(map[carobnodeid.ID]carobversion.Version, len(others))
	for _, vs := range others {
		theirs[vs.Node] = vs
	}
	for _, vs := range own {
		their, ok := theirs[vs.Node]
		delete(theirs, vs.Node)
		switch {
		case !ok && !vs.Standing.Lost() || ok && vs.Newer(their):
			lacking = append(lacking, vs.Node)
		case ok && their.Newer(vs):
			wanted = append(wanted, vs.Node)
		}
	}
	for _, vs := range others {
		if _, ok := theirs[vs.Node]; ok && !vs.Standing.Lost() {
			wanted = append(wanted, vs.Node)
		}
	}
	return lacking, wanted
}

// send sends the words about some nodes.
func (s *System) send(w *carobworld.World, now carobinstant.Instant, to carobaddress.Address, nodes []carobnodeid.ID) {
	var members []carobmember.Member
	weight := 0
	flush := func() bool {
		if len(members) == 0 || !s.throttle.Spend(now, weight) {
			return false
		}
		w.Tell(carobmessage.Message{To: to, Gossip: &carobgossip.Gossip{Members: members, Asked: true}})
		members, weight = nil, 0
		return true
	}
	for _, id := range nodes {
		mb, ok := wordOf(w, id)
		if !ok {
			continue
		}
		members = append(members, mb)
		weight += mb.Weight()
		if len(members) == carobgossip.Most && !flush() {
			return
		}
	}
	flush()
}

func wordOf(w *carobworld.World, id carobnodeid.ID) (carobmember.Member, bool) {
	if id == w.Self.Node {
		return w.Describe(), true
	}
	if pr := w.Peers.Get(id); pr != nil {
		return pr.Member, true
	}
	return carobmember.Member{}, false
}
