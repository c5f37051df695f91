// Package carobgrouping derives the table of services from the table of
// targets.
package carobgrouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// loadRetention is how long the load of a target that is gone is kept, since the node that
// announces it may only be unreachable for a moment.
const loadRetention = 10 * time.Second

// System groups targets by service whenever the table of targets has changed.
type System struct{}

// NewSystem returns the system, which has no state of its own.
func NewSystem() *System {
	return &System{}
}

// Run rebuilds the table of services if the table of targets has changed. This
// also discards the subsets, which are recomputed when a call needs one.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
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
	dropLoads(world, now)
}

// dropLoads removes the loads of targets that are gone and were no candidates within
// loadRetention. Each lifetime of a target has a row of its own, and a full table would
// keep new targets from getting calls.
func dropLoads(world *carobworld.World, now carobinstant.Instant) {
	for id, load := range world.Loads.All() {
		if world.Targets.Get(id) == nil && load.OpenAttempts == 0 && load.LastCandidateAt.Add(loadRetention).Reached(now) {
			world.Loads.Delete(id)
		}
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
