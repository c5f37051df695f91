// Package carobgrouping keeps the table of services in step with that of targets.
package carobgrouping

import (
	"cmp"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System groups targets by service whenever the table of targets has changed.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run rebuilds the table of services if it is out of step.
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	if !w.TargetsChanged {
		return
	}
	w.TargetsChanged = false
	for service := range w.Groups.All() {
		w.Groups.Delete(service)
	}
	for id := range w.Targets.All() {
		join(w, id)
	}
	for _, gp := range w.Groups.All() {
		slices.SortFunc(gp.Targets, func(a, b carobtargetid.ID) int { return cmp.Compare(a.Name, b.Name) })
		gp.Profile = favourite(w, gp)
	}
}

func join(w *carobworld.World, id carobtargetid.ID) {
	gp := w.Groups.Get(id.Service)
	if gp == nil {
		gp = w.Groups.Put(id.Service, carobgroup.Group{})
	}
	gp.Targets = append(gp.Targets, id)
}

// favourite returns the profile that most targets of a service picked.
func favourite(w *carobworld.World, gp *carobgroup.Group) carobword.Word {
	votes := map[carobword.Word]int{}
	var best carobword.Word
	for _, id := range gp.Targets {
		profile := w.Targets.Get(id).Profile
		votes[profile]++
		if votes[profile] > votes[best] || votes[profile] == votes[best] && profile < best {
			best = profile
		}
	}
	return best
}
