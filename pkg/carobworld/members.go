package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobversion"
)

// Describe returns this node as others hear of it.
func (w *World) Describe() carobmember.Member {
	mb := w.Self
	mb.Leaving = w.Stopping
	mb.Targets = nil
	for id := range w.Gates.All() {
		if tg := w.Targets.Get(id); tg != nil && w.Owns(tg) && len(mb.Targets) < carobmember.MostTargets {
			mb.Targets = append(mb.Targets, *tg)
		}
	}
	return mb
}

// PartOf returns the part of the table of peers that a node belongs to.
func PartOf(node carobnodeid.ID) int {
	return int(carobversion.Hash(node) % carobprobe.Parts)
}

// Sums returns a checksum of each part of the table of peers, this node's own word
// included. Nodes that are lost do not count, since others may have dropped them.
func (w *World) Sums() []uint64 {
	sums := make([]uint64, carobprobe.Parts)
	sums[PartOf(w.Self.Node)] = w.Self.Version().Sum()
	for id, pr := range w.Peers.All() {
		if !pr.Member.Standing.Lost() {
			sums[PartOf(id)] ^= pr.Member.Version().Sum()
		}
	}
	return sums
}

// SomePeers returns up to n peers that pass a test, each as likely as the others.
func (w *World) SomePeers(n int, test func(pr *carobpeer.Peer) bool) []*carobpeer.Peer {
	var some []*carobpeer.Peer
	seen := 0
	for _, pr := range w.Peers.All() {
		if !test(pr) {
			continue
		}
		seen++
		if len(some) < n {
			some = append(some, pr)
		} else if i := w.Random.IntN(seen); i < n {
			some[i] = pr
		}
	}
	return some
}

// DropTargets takes the targets of a node out of the table.
func (w *World) DropTargets(node carobnodeid.ID) {
	w.TargetsChanged = true
	for id, tg := range w.Targets.All() {
		if tg.Node == node {
			w.Targets.Delete(id)
		}
	}
}
