// Package carobcore runs the systems of a node over its tables.
//
// The core does no I/O and reads no clock: the same world, messages and instants
// lead to the same effects every time. Whoever embeds it carries messages in
// and effects out.
package carobcore

import (
	"cmp"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobcatchup"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobcompaction"
	"github.com/carobknot/carobknot/pkg/carobdetection"
	"github.com/carobknot/carobknot/pkg/carobdissemination"
	"github.com/carobknot/carobknot/pkg/carobejection"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobfold"
	"github.com/carobknot/carobknot/pkg/carobfollowing"
	"github.com/carobknot/carobknot/pkg/carobgrouping"
	"github.com/carobknot/carobknot/pkg/carobhedging"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjoining"
	"github.com/carobknot/carobknot/pkg/carobmembership"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobpause"
	"github.com/carobknot/carobknot/pkg/carobprobing"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreconciliation"
	"github.com/carobknot/carobknot/pkg/carobregistry"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobroutesync"
	"github.com/carobknot/carobknot/pkg/carobrouting"
	"github.com/carobknot/carobknot/pkg/carobshutdown"
	"github.com/carobknot/carobknot/pkg/carobtracing"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// system is one rule that runs over the tables each tick.
type system interface {
	Run(w *carobworld.World, now carobinstant.Instant)
}

// Config is how a core is made.
type Config struct {
	World carobworld.Config
	// Seeds are addresses of other nodes to begin with.
	Seeds []carobaddress.Address
	// Profiles are in force from the start, without having been published. May be
	// empty.
	Profiles []carobprofile.Profile
	// Silence is how long a target may go without an announcement; 0 is the
	// default.
	Silence time.Duration
	// Untraced says that no trace context is handed on.
	Untraced bool
}

// Core is the decisions of one node.
type Core struct {
	world *carobworld.World
	// systems run in this order each tick.
	systems []system
}

const (
	tickPeriod    = 200 * time.Millisecond
	tickAllowance = time.Second
	// claimPatience is longer than an append to the log may take.
	claimPatience = 2500 * time.Millisecond
	claimGap      = 25 * time.Millisecond
	claimLull     = 200 * time.Millisecond
	claimPause    = 200 * time.Millisecond
	lastLinger    = 500 * time.Millisecond
	lastPatience  = 3 * time.Second
	claimKeys     = 50_000
	claimKept     = 4 << 20
	// targetSilence is how long a target may go without an announcement.
	targetSilence = 3 * time.Second
)

// NewCore returns a core with empty tables.
func NewCore(c Config) *Core {
	world := carobworld.NewWorld(c.World)
	for _, pf := range c.Profiles {
		world.Profiles.Put(pf.Name, carobrevision.Revision{Offset: caroboffset.None, Change: carobchange.Change{Profile: pf}})
	}
	return &Core{
		world: world,
		systems: []system{
			carobpause.NewSystem(carobpause.Config{Period: tickPeriod, Allowance: tickAllowance}),
			carobregistry.NewSystem(carobregistry.Config{Silence: cmp.Or(c.Silence, targetSilence)}),
			carobjoining.NewSystem(carobjoining.Config{Seeds: c.Seeds}),
			carobmembership.NewSystem(),
			carobdetection.NewSystem(),
			carobreconciliation.NewSystem(),
			carobroutesync.NewSystem(),
			carobfollowing.NewSystem(),
			carobfold.NewSystem(),
			carobcatchup.NewSystem(),
			carobcompaction.NewSystem(),
			carobgrouping.NewSystem(),
			carobfencing.NewSystem(),
			carobadmission.NewSystem(),
			carobclaiming.NewSystem(carobclaiming.Config{
				Gap: claimGap, Lull: claimLull, Patience: claimPatience, Pause: claimPause, Keys: claimKeys, Kept: claimKept,
			}),
			carobentry.NewSystem(),
			carobprobing.NewSystem(),
			carobrouting.NewSystem(),
			carobejection.NewSystem(),
			carobhedging.NewSystem(),
			carobtracing.NewSystem(carobtracing.Config{Seed: c.World.Seed, Alone: c.Untraced}),
			carobshutdown.NewSystem(carobshutdown.Config{Patience: lastPatience, Linger: lastLinger}),
			carobdissemination.NewSystem(),
		},
	}
}

// Step runs one tick: the messages that came together, at one instant.
func (c *Core) Step(now carobinstant.Instant, in carobinbox.Inbox) *caroboutbox.Outbox {
	c.world.Begin(in)
	for _, s := range c.systems {
		s.Run(c.world, now)
	}
	return &c.world.Outbox
}

// Wake returns when the next tick is due though no message comes, or Never.
func (c *Core) Wake() carobinstant.Instant {
	return c.world.Wake()
}

// World gives access to the tables, to look at between ticks.
func (c *Core) World() *carobworld.World {
	return c.world
}
