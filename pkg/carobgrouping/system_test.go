package carobgrouping_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobknot/carobknot/pkg/carobgrouping"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// BenchmarkChangedTargets measures a tick after a change of the targets, and one without a
// change, in which the loads of the targets are not visited.
func BenchmarkChangedTargets(b *testing.B) {
	now := carobinstant.Instant(time.Hour)
	for _, targets := range []int{30, 300} {
		world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
		for i := range targets {
			id := carobtargetid.ID{Service: "lookups", Name: carobname.Name(fmt.Sprintf("i-%d", i))}
			world.Targets.Put(id, carobtarget.Target{ID: id, Profile: "p"})
			world.Loads.Put(id, carobload.Load{LastCandidateAt: now})
		}
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("targets=%d,changed=%t", targets, changed), func(b *testing.B) {
				s := carobgrouping.NewSystem()
				for b.Loop() {
					world.TargetsChanged = changed
					s.Run(world, now)
				}
			})
		}
	}
}
