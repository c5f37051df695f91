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

// view returns the targets of a service that this node keeps in view: at most
// spread, the ones in its own data centre first, and among equals those that
// rendezvous hashing gives it. Each node has another view, which changes little
// when targets come and go; together the views load all targets alike. So no
// node has to follow the load of hundreds of targets.
func view(w *carobworld.World, gp *carobgroup.Group, spread int) []carobtargetid.ID {
	if len(gp.Targets) <= spread {
		return gp.Targets
	}
	if len(gp.View) != spread {
		gp.View = rank(w, gp.Targets)[:spread]
	}
	return gp.View
}

// rank returns the targets, the ones to keep in view first.
func rank(w *carobworld.World, targets []carobtargetid.ID) []carobtargetid.ID {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b carobtargetid.ID) int {
		if nearA, nearB := isNear(w, a), isNear(w, b); nearA != nearB {
			if nearA {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(w.Self.Node, b), weight(w.Self.Node, a))
	})
	return ranked
}

func isNear(w *carobworld.World, id carobtargetid.ID) bool {
	tg := w.Targets.Get(id)
	if tg == nil {
		return false
	}
	if w.Owns(tg) {
		return true
	}
	pr := w.Peers.Get(tg.Node)
	return pr != nil && pr.Member.Region == w.Self.Region && pr.Member.Centre == w.Self.Centre
}

// weight is the rendezvous hash of a node and a target.
func weight(node carobnodeid.ID, target carobtargetid.ID) uint64 {
	const separator = "\x00"
	return xxhash.Sum64String(string(node) + separator + string(target.Service) + separator + string(target.Name))
}

// nearest keeps the candidates of the own data centre while one of them is
// loaded below the profile's share and not slow, and all of them otherwise.
func nearest(candidates []candidate, share float64) []candidate {
	lowest := lowestLatency(candidates)
	for i := range candidates {
		cd := &candidates[i]
		if cd.near && cd.flight < share*float64(cd.slots) && (cd.latency == 0 || cd.latency/band <= lowest) {
			return slices.DeleteFunc(candidates, func(c candidate) bool { return !c.near })
		}
	}
	return candidates
}
