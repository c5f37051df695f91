// Package carobcore runs the systems of a node over its tables.
//
// The core does no I/O and reads no clock: the same world, input and instants always
// produce the same effects. The caller delivers the input and carries out the effects.
package carobcore

import (
	"cmp"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobcatchup"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobclocksync"
	"github.com/carobknot/carobknot/pkg/carobcompaction"
	"github.com/carobknot/carobknot/pkg/carobdetection"
	"github.com/carobknot/carobknot/pkg/carobdissemination"
	"github.com/carobknot/carobknot/pkg/carobejection"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobevacuating"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobfold"
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
	"github.com/carobknot/carobknot/pkg/carobquotaallocation"
	"github.com/carobknot/carobknot/pkg/carobquotacounting"
	"github.com/carobknot/carobknot/pkg/carobquotalending"
	"github.com/carobknot/carobknot/pkg/carobreconciliation"
	"github.com/carobknot/carobknot/pkg/carobregistry"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobrouteconfirmation"
	"github.com/carobknot/carobknot/pkg/carobroutesync"
	"github.com/carobknot/carobknot/pkg/carobrouting"
	"github.com/carobknot/carobknot/pkg/carobshutdown"
	"github.com/carobknot/carobknot/pkg/carobstorereading"
	"github.com/carobknot/carobknot/pkg/carobstorerecovery"
	"github.com/carobknot/carobknot/pkg/carobtracing"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// system runs over the tables once each tick.
type system interface {
	Run(w *carobworld.World, now carobinstant.Instant)
}

// Config holds the settings that a Core is created with.
type Config struct {
	World carobworld.Config
	// Seeds are addresses of other nodes to contact at the start.
	Seeds []carobaddress.Address
	// Profiles are in force from the start without having been published in the log. May
	// be empty.
	Profiles []carobprofile.Profile
	// AnnouncementTimeout is how long a target may go without an announcement before it is
	// marked as leaving; 0 selects the default of 3 s.
	AnnouncementTimeout time.Duration
	// ConfirmationPeriod is the time after the start in which targets that are not known yet
	// have to be confirmed by a health check; 0 if targets have none.
	ConfirmationPeriod time.Duration
	// ApplyTimeout is the time within which a route table must be in force after the store has
	// acknowledged it; 0 selects the default of 2 s.
	ApplyTimeout time.Duration
	// RecoveryTimeout is the time after an outage of the store within which the newest route
	// table must be in force; 0 selects the default of 3 s.
	RecoveryTimeout time.Duration
	// AdmissionOrder is the name of an order of jobs at targets, for measurements; empty for the
	// one that the route table calls for.
	AdmissionOrder string
	// NoTracePropagation disables the propagation of trace context.
	NoTracePropagation bool
}

// Core makes all decisions of one node.
type Core struct {
	world *carobworld.World
	// systems run in this order each tick.
	systems []system
}

const (
	// maxTickInterval is the longest time between two ticks.
	maxTickInterval = 200 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the node counts as paused.
	pauseThreshold = time.Second
	// claimReadBackTimeout is how long a batch of claims may take to be read back
	// before it is appended again. It is longer than an append to the log may take.
	claimReadBackTimeout = 2500 * time.Millisecond
	// claimAppendInterval is the shortest time between two appends to one stream,
	// and settlementAppendInterval the same for appends of settlements only.
	claimAppendInterval      = 25 * time.Millisecond
	settlementAppendInterval = 200 * time.Millisecond
	// claimRetryDelay is the time before an append that the log refused is retried.
	claimRetryDelay = 200 * time.Millisecond
	// shutdownQuietPeriod is how long no attempt must have arrived before a node that shuts down
	// may exit, so that none is still on its way to it.
	shutdownQuietPeriod = 500 * time.Millisecond
	// shutdownSettleTimeout is how long an idle node that shuts down waits for the new homes
	// of its calls' keys to receive the outcomes of the calls.
	shutdownSettleTimeout = 3 * time.Second
	// maxClaimKeys and maxClaimBytes limit the claims of each shard: the number of keys,
	// and the bytes of the answers stored with them.
	maxClaimKeys  = 50_000
	maxClaimBytes = 4 << 20
	// announcementTimeout is the default of Config.AnnouncementTimeout.
	announcementTimeout = 3 * time.Second
	// applyTimeout is the default of Config.ApplyTimeout.
	applyTimeout = 2 * time.Second
	// recoveryTimeout is the default of Config.RecoveryTimeout.
	recoveryTimeout = 3 * time.Second
)

// NewCore returns a Core with empty tables, apart from the configured profiles.
func NewCore(c Config) *Core {
	world := carobworld.NewWorld(c.World)
	for _, profile := range c.Profiles {
		world.Profiles.Put(profile.Name, carobrevision.Revision{Offset: caroboffset.BeforeFirst, Change: carobchange.Change{Profile: profile}})
	}
	return &Core{
		world: world,
		systems: []system{
			carobpause.NewSystem(carobpause.Config{MaxTickInterval: maxTickInterval, Threshold: pauseThreshold}),
			carobregistry.NewSystem(carobregistry.Config{
				AnnouncementTimeout: cmp.Or(c.AnnouncementTimeout, announcementTimeout), ConfirmationPeriod: c.ConfirmationPeriod,
			}),
			carobstorerecovery.NewSystem(),
			carobclocksync.NewSystem(),
			carobjoining.NewSystem(carobjoining.Config{Seeds: c.Seeds}),
			carobmembership.NewSystem(),
			carobdetection.NewSystem(),
			carobreconciliation.NewSystem(),
			carobroutesync.NewSystem(),
			carobstorereading.NewSystem(),
			carobrouteconfirmation.NewSystem(carobrouteconfirmation.Config{
				ApplyTimeout: cmp.Or(c.ApplyTimeout, applyTimeout), RecoveryTimeout: cmp.Or(c.RecoveryTimeout, recoveryTimeout),
			}),
			carobevacuating.NewSystem(),
			carobfold.NewSystem(),
			carobcatchup.NewSystem(),
			carobcompaction.NewSystem(),
			carobgrouping.NewSystem(),
			carobfencing.NewSystem(),
			carobadmission.NewSystem(carobadmission.Config{Order: c.AdmissionOrder}),
			carobclaiming.NewSystem(carobclaiming.Config{
				AppendInterval: claimAppendInterval, SettlementInterval: settlementAppendInterval, ReadBackTimeout: claimReadBackTimeout,
				RetryDelay: claimRetryDelay, MaxKeys: maxClaimKeys, MaxStoredBytes: maxClaimBytes,
			}),
			carobquotacounting.NewSystem(),
			carobquotaallocation.NewSystem(),
			carobquotalending.NewSystem(),
			carobentry.NewSystem(),
			carobprobing.NewSystem(),
			carobrouting.NewSystem(),
			carobejection.NewSystem(),
			carobhedging.NewSystem(),
			carobtracing.NewSystem(carobtracing.Config{Seed: c.World.Seed, NoTracePropagation: c.NoTracePropagation}),
			carobshutdown.NewSystem(carobshutdown.Config{SettleTimeout: shutdownSettleTimeout, QuietPeriod: shutdownQuietPeriod}),
			carobdissemination.NewSystem(),
		},
	}
}

// Tick runs one tick at the given instant over the input that came since the last one, and
// returns the effects. The outbox is valid until the next call.
func (c *Core) Tick(now carobinstant.Instant, input carobinbox.Inbox) *caroboutbox.Outbox {
	c.world.BeginTick(input)
	for _, s := range c.systems {
		s.Run(c.world, now)
	}
	c.world.EndTick(now)
	return &c.world.Outbox
}

// Wake returns when the next tick is due even if no input arrives; Never if no system
// requested one.
func (c *Core) Wake() carobinstant.Instant {
	return c.world.Wake()
}

// World returns the tables, to be inspected between ticks.
func (c *Core) World() *carobworld.World {
	return c.world
}
