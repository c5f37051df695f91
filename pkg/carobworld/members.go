package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
)

// DescribeSelf returns this node's description of itself as it is gossiped to other nodes:
// with the targets that the node admits jobs to, up to the maximum for one VM.
func (w *World) DescribeSelf() carobmember.Member {
	member := w.Self
	member.Leaving = w.Stopping
	member.Targets = nil
	for id := range w.AdmissionStates.All() {
		if target := w.Targets.Get(id); target != nil && w.Owns(target) && len(member.Targets) < carobmember.MaxTargets {
			member.Targets = append(member.Targets, *target)
		}
	}
	return member
}

// PartitionOf returns the partition of the peer table that a node belongs to. It depends on the
// node's ID alone, so all nodes agree on it.
func PartitionOf(node carobnodeid.ID) int {
	return int(carobmemberversion.HashNode(node) % carobpeerheartbeat.Partitions)
}

// Checksums returns a checksum of each partition of the peer table, this node's own description
// included. Nodes that are down are not counted, because other nodes may already have dropped
// their rows. The caller must not change the result.
func (w *World) Checksums() []uint64 {
	own := w.Self.Version()
	if w.checksums != nil && w.checksumsAt == w.PeerChanges && w.checksumsOf == own {
		return w.checksums
	}
	checksums := make([]uint64, carobpeerheartbeat.Partitions)
	checksums[PartitionOf(w.Self.Node)] = own.Checksum()
	for id, peer := range w.Peers.All() {
		if !peer.Member.Liveness.Down() {
			checksums[PartitionOf(id)] ^= peer.Member.Version().Checksum()
		}
	}
	w.checksums, w.checksumsAt, w.checksumsOf = checksums, w.PeerChanges, own
	return checksums
}

// AnyPeer reports whether eligible returns true for a peer.
func (w *World) AnyPeer(eligible func(peer *carobpeer.Peer) bool) bool {
	for _, peer := range w.Peers.All() {
		if eligible(peer) {
			return true
		}
	}
	return false
}

// SamplePeers returns up to n peers for which eligible returns true, sampled uniformly at
// random.
func (w *World) SamplePeers(n int, eligible func(peer *carobpeer.Peer) bool) []*carobpeer.Peer {
	var sample []*carobpeer.Peer
	seen := 0
	for _, peer := range w.Peers.All() {
		if !eligible(peer) {
			continue
		}
		seen++
		if len(sample) < n {
			sample = append(sample, peer)
		} else if i := w.Random.IntN(seen); i < n {
			sample[i] = peer
		}
	}
	return sample
}

// DropTargets removes all targets of a node from the target table.
func (w *World) DropTargets(node carobnodeid.ID) {
	w.TargetsChanged = true
	for id, target := range w.Targets.All() {
		if target.Node == node {
			w.Targets.Delete(id)
		}
	}
}
