// Package carobgrouping derives the table of services from the table of
// targets.
package carobgrouping

import (
	"cmp"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System groups targets by service whenever the table of targets has changed.
type System struct{}

// NewSystem returns the system, which has no state of its own.
func NewSystem() *System {
	return &System{}
}

// Run rebuilds the table of services if the table of targets has changed. This
// also discards the subsets, which are recomputed when a call needs one.
func (s *System) Run(world *carobworld.World, _ carobinstant.Instant) {
	if !world.TargetsChanged {
		return
	}
	world.TargetsChanged = false
	for service := range world.Groups.All() {
		world.Groups.Delete(service)
	}
	for id := range world.Targets.All() {
		addTarget(world, id)
	}
	for _, group := range world.Groups.All() {
		slices.SortFunc(group.Targets, func(a, b carobtargetid.ID) int { return cmp.Compare(a.Name, b.Name) })
		group.Profile = mostCommonProfile(world, group)
	}
}

// addTarget adds a target to the row of its service.
func addTarget(world *carobworld.World, id carobtargetid.ID) {
	group := world.Groups.Get(id.Service)
	if group == nil {
		group = world.Groups.Put(id.Service, carobgroup.Group{})
	}
	group.Targets = append(group.Targets, id)
}

// mostCommonProfile returns the profile that most targets of a service
// announce; of several, the first in the order of names.
func mostCommonProfile(world *carobworld.World, group *carobgroup.Group) carobname.Name {
	counts := map[carobname.Name]int{}
	var mostCommon carobname.Name
	for _, id := range group.Targets {
		profile := world.Targets.Get(id).Profile
		counts[profile]++
		if counts[profile] > counts[mostCommon] || counts[profile] == counts[mostCommon] && profile < mostCommon {
			mostCommon = profile
		}
	}
	return mostCommon
}
