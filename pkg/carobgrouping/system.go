// Package carobgrouping derives the table of services from the table of
// targets.
package carobgrouping

import (
	"cmp"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobservice"
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
	profiles := map[carobservice.Service]profileCounts{}
	for id, target := range world.Targets.All() {
		counts := profiles[id.Service]
		if counts == nil {
			counts = profileCounts{}
			profiles[id.Service] = counts
		}
		counts[target.Profile]++
		addTarget(world, id)
	}
	for service, group := range world.Groups.All() {
		slices.SortFunc(group.Targets, func(a, b carobtargetid.ID) int { return cmp.Compare(a.Name, b.Name) })
		group.Profile = profiles[service].mostCommon()
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

// profileCounts has the number of targets of a service that announce each profile.
type profileCounts map[carobname.Name]int

// mostCommon returns the profile that most targets announce; of several, the first in the
// order of names.
func (c profileCounts) mostCommon() carobname.Name {
	var mostCommon carobname.Name
	for profile, count := range c {
		if count > c[mostCommon] || count == c[mostCommon] && profile < mostCommon {
			mostCommon = profile
		}
	}
	return mostCommon
}
