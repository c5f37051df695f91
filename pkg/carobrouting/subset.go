package carobrouting

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// subset returns the targets of a service that this node sends to, so that it
// need not track the load of hundreds of targets. It has at most size targets:
// first those of this node's data centre, and then by rendezvous hashing of
// node and target. The subsets of all nodes together cover the targets evenly,
// and a subset changes little when targets are added or removed.
func subset(world *carobworld.World, group *carobgroup.Group, size int) []carobtargetid.ID {
	if len(group.Targets) <= size {
		return group.Targets
	}
	if len(group.Subset) != size {
		group.Subset = rankTargets(world, group.Targets)[:size]
	}
	return group.Subset
}

// rankTargets returns the targets in the order in which they join the subset.
func rankTargets(world *carobworld.World, targets []carobtargetid.ID) []carobtargetid.ID {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b carobtargetid.ID) int {
		if sameA, sameB := inSameCentre(world, a), inSameCentre(world, b); sameA != sameB {
			if sameA {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousHash(world.Self.Node, b), rendezvousHash(world.Self.Node, a))
	})
	return ranked
}

// inSameCentre reports whether a target is in this node's region and data
// centre. It is false for targets that are not in the tables.
func inSameCentre(world *carobworld.World, id carobtargetid.ID) bool {
	target := world.Targets.Get(id)
	if target == nil {
		return false
	}
	if world.Owns(target) {
		return true
	}
	peer := world.Peers.Get(target.Node)
	return peer != nil && peer.Member.Region == world.Self.Region && peer.Member.Centre == world.Self.Centre
}

// rendezvousHash returns the rendezvous hash of a node and a target.
func rendezvousHash(node carobnodeid.ID, target carobtargetid.ID) uint64 {
	const separator = "\x00"
	return xxhash.Sum64String(string(node) + separator + string(target.Service) + separator + string(target.Name))
}

// preferSameCentre removes the candidates of other data centres if one of this
// data centre has a utilisation below maxUtilisation and is not slow. Otherwise
// it keeps all.
func preferSameCentre(candidates []candidate, maxUtilisation float64) []candidate {
	lowest := lowestLatency(candidates)
	for i := range candidates {
		cd := &candidates[i]
		if cd.sameCentre && cd.inFlight < maxUtilisation*float64(cd.slots) && latencyFactor(cd.latency, lowest) == 1 {
			return slices.DeleteFunc(candidates, func(c candidate) bool { return !c.sameCentre })
		}
	}
	return candidates
}
