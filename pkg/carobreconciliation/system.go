// Package carobreconciliation repairs differences between the peer tables of two nodes
// that gossip left behind (anti-entropy).
//
// Heartbeats carry a checksum of each partition of the sender's peer table. If one
// differs, the receiver answers with a digest of that partition: the version of each
// node's description that it has. The two nodes then send each other the descriptions that
// the other lacks. A node that starts gets the whole table this way.
package carobreconciliation

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobdigest"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobthrottle"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// maxPartitions is the maximum number of partitions that are compared after one
	// heartbeat.
	maxPartitions = 4
	// compareInterval is the minimum time between two comparisons while gossip is
	// pending, since pending gossip alone may explain the difference.
	compareInterval = 2 * time.Second
	// rowSize is the approximate size of a digest row, in bytes.
	rowSize = 60
)

// System compares the peer table with those of other nodes and repairs differences.
type System struct {
	throttle *carobthrottle.Throttle
	// nextCompare is when tables may be compared again while gossip is pending; Never
	// before the first comparison.
	nextCompare carobinstant.Instant
}

// NewSystem returns a System that is throttled to 12 KiB a second, with bursts of 128 KiB.
func NewSystem() *System {
	return &System{throttle: carobthrottle.NewThrottle(carobthrottle.Config{
		Rate: carobrate.Rate(12 * carobsize.KiB), Burst: 128 * carobsize.KiB,
	})}
}

// Run compares the peer table with the checksums in the heartbeats of this tick, and
// handles its digests.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		if message.Heartbeat != nil && len(message.Heartbeat.Checksums) == carobpeerheartbeat.Partitions {
			s.compare(world, now, message)
		}
		if message.Digest != nil {
			s.answer(world, now, message)
		}
	}
}

// compare sends digests of some of the partitions whose checksums differ, chosen at
// random, as far as the throttle permits. If at most half of the partitions differ while
// gossip is pending, it compares only once per interval.
func (s *System) compare(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	different := differing(world.Checksums(), message.Heartbeat.Checksums)
	if len(different) == 0 {
		return
	}
	if world.PendingGossip.Len() > 0 && len(different) <= carobpeerheartbeat.Partitions/2 && s.nextCompare != carobinstant.Never && !s.nextCompare.Reached(now) {
		return
	}
	s.nextCompare = now.Add(compareInterval)
	world.Random.Shuffle(len(different), func(i, j int) { different[i], different[j] = different[j], different[i] })
	for _, partition := range different[:min(maxPartitions, len(different))] {
		rows := versions(world, partition)
		if !s.throttle.Allow(now, rowSize*len(rows)) {
			return
		}
		world.SendMessage(carobmessage.Message{To: message.ReplyTo, Digest: &carobdigest.Digest{Partition: partition, Versions: rows}})
	}
}

// differing returns the indices at which two lists of checksums differ.
func differing(a, b []uint64) []int {
	var indices []int
	for i := range a {
		if a[i] != b[i] {
			indices = append(indices, i)
		}
	}
	return indices
}

// versions returns the version of each description in a partition of the peer table, this
// node's own included.
func versions(world *carobworld.World, partition int) []carobmemberversion.Version {
	var rows []carobmemberversion.Version
	if carobworld.PartitionOf(world.Self.Node) == partition {
		rows = append(rows, world.Self.Version())
	}
	for id, peer := range world.Peers.All() {
		if carobworld.PartitionOf(id) == partition {
			rows = append(rows, peer.Member.Version())
		}
	}
	return rows
}

// answer handles a digest. It sends the descriptions that the sender requests, or those
// that are newer than in the sender's rows, and requests the ones that the sender has
// newer.
func (s *System) answer(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	if len(message.Digest.Requested) > 0 {
		s.send(world, now, message.ReplyTo, message.Digest.Requested)
		return
	}
	missing, requested := compareVersions(versions(world, message.Digest.Partition), message.Digest.Versions)
	s.send(world, now, message.ReplyTo, missing)
	if len(requested) > 0 {
		world.SendMessage(carobmessage.Message{To: message.ReplyTo, Digest: &carobdigest.Digest{Partition: message.Digest.Partition, Requested: requested}})
	}
}

// compareVersions compares the versions of a partition. It returns the nodes whose newest
// description the sender of the digest lacks, and those whose newest description this node
// lacks. A node that is down and that one side has dropped is not added again.
func compareVersions(own, others []carobmemberversion.Version) (missing, requested []carobnodeid.ID) {
	theirs := make(map[carobnodeid.ID]carobmemberversion.Version, len(others))
	for _, version := range others {
		theirs[version.Node] = version
	}
	for _, version := range own {
		their, ok := theirs[version.Node]
		delete(theirs, version.Node)
		switch {
		case !ok && !version.Liveness.Down() || ok && version.Newer(their):
			missing = append(missing, version.Node)
		case ok && their.Newer(version):
			requested = append(requested, version.Node)
		}
	}
	for _, version := range others {
		if _, ok := theirs[version.Node]; ok && !version.Liveness.Down() {
			requested = append(requested, version.Node)
		}
	}
	return missing, requested
}

// send sends the descriptions of some nodes, in as many messages as necessary, until the
// throttle refuses one.
func (s *System) send(world *carobworld.World, now carobinstant.Instant, to carobaddress.Address, nodes []carobnodeid.ID) {
	var members []carobmember.Member
	size := 0
	flush := func() bool {
		if len(members) == 0 || !s.throttle.Allow(now, size) {
			return false
		}
		world.SendMessage(carobmessage.Message{To: to, Gossip: &carobgossip.Gossip{Members: members, Requested: true}})
		members, size = nil, 0
		return true
	}
	for _, id := range nodes {
		member, ok := description(world, id)
		if !ok {
			continue
		}
		members = append(members, member)
		size += member.EncodedSize()
		if len(members) == carobgossip.MaxMembers && !flush() {
			return
		}
	}
	flush()
}

// description returns the description of a node that this node has. It reports false if
// there is none.
func description(world *carobworld.World, id carobnodeid.ID) (carobmember.Member, bool) {
	if id == world.Self.Node {
		return world.DescribeSelf(), true
	}
	if peer := world.Peers.Get(id); peer != nil {
		return peer.Member, true
	}
	return carobmember.Member{}, false
}
