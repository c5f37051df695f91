package carobadmission

import (
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// startsNothing reports whether no job may start any more at one of the node's own targets: it
// leaves, or its data centre is evacuated. Jobs that have started finish.
func startsNothing(world *carobworld.World, target *carobtarget.Target) bool {
	return target.Readiness == carobreadiness.Leaving || world.IsTargetEvacuated(target)
}
