// Package carobworld holds all control state of a node.
package carobworld

import (
	"math/rand/v2"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallclass"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobclockbound"
	"github.com/carobknot/carobknot/pkg/carobcountednode"
	"github.com/carobknot/carobknot/pkg/carobdemand"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobevictingmap"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstance"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblatency"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobopenhop"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobpendingheartbeat"
	"github.com/carobknot/carobknot/pkg/carobpendingsettlement"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobquotabucket"
	"github.com/carobknot/carobknot/pkg/carobquotalease"
	"github.com/carobknot/carobknot/pkg/carobquotaledger"
	"github.com/carobknot/carobknot/pkg/carobquotasettings"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobretrybudget"
	"github.com/carobknot/carobknot/pkg/carobretrylimits"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobspendingwindow"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobtable"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtokenbucket"
	"github.com/carobknot/carobknot/pkg/carobwatermark"
)

// Config holds the settings that a World is created with.
type Config struct {
	// Self is this node's description of itself.
	Self        carobmember.Member
	Limits      caroblimits.Limits
	ProbeLimits carobprobelimits.ProbeLimits
	RetryLimits carobretrylimits.RetryLimits
	// QuotaSettings bounds the calls of organisations with a quota; zero selects the defaults.
	QuotaSettings carobquotasettings.QuotaSettings
	// Capacity is the processor capacity of this node, by which an allocator of quotas is
	// chosen; 0 if it is not known.
	Capacity carobcapacity.Capacity
	// Seed is the seed of the random number generator.
	Seed uint64
}

// World holds the tables of a node, and the input and effects of the current tick. Only
// the control goroutine accesses it.
type World struct {
	// Self is this node's description of itself. Its targets are filled in only when it is
	// gossiped.
	Self        carobmember.Member
	Limits      caroblimits.Limits
	ProbeLimits carobprobelimits.ProbeLimits
	RetryLimits carobretrylimits.RetryLimits
	// QuotaSettings bounds the calls of organisations with a quota.
	QuotaSettings carobquotasettings.QuotaSettings
	// Capacity is the processor capacity of this node; 0 if it is not known.
	Capacity carobcapacity.Capacity
	// Random is the only random number generator that systems use, so that a run is
	// reproducible from its seed.
	Random *rand.Rand
	// Stopping is true once a graceful shutdown has begun.
	Stopping bool
	// ShutdownDeadline is the deadline of the shutdown; Never until a shutdown begins.
	ShutdownDeadline carobinstant.Instant

	// Membership and targets.

	// Targets has all known targets, including the node's own.
	Targets *carobtable.Table[carobtargetid.ID, carobtarget.Target]
	// Instances has the newest instance of a target at each address on the VM.
	Instances *carobtable.Table[carobaddress.Address, carobinstance.Instance]
	// Withdrawals has the incarnations of the targets on the VM that withdrew most recently;
	// 0 if the withdrawal did not name it and the target was not known.
	Withdrawals *carobevictingmap.EvictingMap[carobname.Name, carobincarnation.Incarnation]
	// TargetsChanged is true while Groups is out of date with respect to Targets.
	TargetsChanged bool
	// Groups has the targets by service, derived from Targets.
	Groups *carobtable.Table[carobservice.Service, carobgroup.Group]
	// Peers has all other known nodes.
	Peers *carobtable.Table[carobnodeid.ID, carobpeer.Peer]
	// PeerChanges counts the changes of Peers, so that systems can detect when values
	// derived from it are out of date.
	PeerChanges uint64
	// PendingGossip has the peers whose newest description this node still has to gossip.
	PendingGossip *carobtable.Table[carobnodeid.ID, struct{}]
	// LoggedMembers has the descriptions that the log records of nodes that are not known as
	// peers. A node may no longer be at its address.
	LoggedMembers *carobtable.Table[carobnodeid.ID, carobmember.Member]
	// PendingHeartbeats has the heartbeats that have not been answered, by their number.
	PendingHeartbeats *carobtable.Table[uint64, carobpendingheartbeat.PendingHeartbeat]
	// LeaveAnnounced is true once this node has announced to other nodes that it leaves.
	LeaveAnnounced bool

	// Routing and load probes.

	// Loads has the load of targets as this node sees it as an entry.
	Loads *carobtable.Table[carobtargetid.ID, carobload.Load]
	// NextEjectionEnd is when the earliest ejection of a target in Loads ends; Never while none
	// is ejected.
	NextEjectionEnd carobinstant.Instant
	// ProbeBuckets has the token buckets that limit the cost of probing.
	ProbeBuckets *carobtable.Table[carobname.Name, carobtokenbucket.TokenBucket]
	// ProbeBytes has the bytes sent for probing within the last second.
	ProbeBytes carobspendingwindow.SpendingWindow
	// Latencies has the latency statistics of each service.
	Latencies *carobtable.Table[carobservice.Service, caroblatency.Latency]

	// Calls, admission and claims.

	// Calls has the calls that this node is the entry of.
	Calls *carobtable.Table[carobcallid.ID, carobcall.Call]
	// AdmissionStates has the admission state of the node's own targets.
	AdmissionStates *carobtable.Table[carobtargetid.ID, carobadmissionstate.AdmissionState]
	// Jobs has the jobs at the node's own targets.
	Jobs *carobtable.Table[carobjobid.ID, carobjob.Job]
	// EndedJobs has the most recent jobs that were started and have ended.
	EndedJobs *carobevictingmap.EvictingMap[carobjobid.ID, carobfinish.Finish]
	// Tombstones has the most recent fenced jobs: those that must never run.
	Tombstones *carobevictingmap.EvictingMap[carobjobid.ID, struct{}]
	// Watermarks has, for each entry node, bounds that stand for the rows evicted from
	// EndedJobs and Tombstones.
	Watermarks *carobevictingmap.EvictingMap[carobnodeid.ID, carobwatermark.Watermark]
	// EvictedIncarnation and EvictedFencedIncarnation stand for evicted watermarks.
	// EvictedIncarnation is the highest incarnation of an evicted watermark, and
	// EvictedFencedIncarnation the highest of one that covered tombstones. Neither ever
	// decreases.
	EvictedIncarnation, EvictedFencedIncarnation carobincarnation.Incarnation
	// RetryBudgets has each service's budget of retries and hedges.
	RetryBudgets *carobtable.Table[carobservice.Service, carobretrybudget.RetryBudget]
	// OrganisationDemands and RouteDemands count the calls of this entry by organisation and by
	// route, and OverallDemand counts all of them, while the route table requires API keys.
	OrganisationDemands *carobtable.Table[caroborganisationid.ID, carobdemand.Demand]
	RouteDemands        *carobtable.Table[carobname.Name, carobdemand.Demand]
	OverallDemand       carobdemand.Demand
	// OrganisationStarts counts the calls that have started at the node's own targets by
	// organisation.
	OrganisationStarts *carobtable.Table[caroborganisationid.ID, carobdemand.Demand]
	// WorkEstimates has the mean time that the node's own targets take for calls of a class.
	WorkEstimates *carobtable.Table[carobcallclass.CallClass, time.Duration]
	// Homes has the shards of idempotency keys that this node is home of.
	Homes *carobtable.Table[carobshard.Shard, carobhome.Home]
	// AppendCount counts the batches of claims that this node has appended.
	AppendCount uint64
	// PendingSettlements has the ended calls whose outcome their homes have not confirmed yet.
	PendingSettlements *carobtable.Table[carobcallid.ID, carobpendingsettlement.PendingSettlement]
	// Paused is true if more time passed before this tick than is allowed between two
	// ticks.
	Paused bool

	// Profiles and routes.

	// RouteTable is the route table in force; nil if none is known. Its version never
	// decreases.
	RouteTable *carobroutetable.RouteTable
	// RouteRejection is the newest table in the store if it cannot be read; nil otherwise.
	RouteRejection *carobrouterejection.RouteRejection
	// RoutesConfirmedAt is an instant at which the store had no newer route table than
	// RouteTable; Never if none is known. It never decreases.
	RoutesConfirmedAt carobinstant.Instant
	// RoutesReadAt is when the last read of this node began that confirmed a route table; Never
	// if none did. It is not after RoutesConfirmedAt.
	RoutesReadAt carobinstant.Instant
	// ClockBounds has bounds of the clocks of other nodes, by peer address.
	ClockBounds *carobevictingmap.EvictingMap[carobaddress.Address, carobclockbound.ClockBound]
	// StoreEra is the newest era of the store that is known; None if none is. It never decreases.
	StoreEra carobstoreera.Era
	// StoreRestored is true in the tick in which a restore of the store from an earlier copy
	// becomes known, and StoreRestoredAt is when the last one did; Never if none has.
	StoreRestored   bool
	StoreRestoredAt carobinstant.Instant
	// Evacuations has the data centres that were ever known to be evacuated. Only rows that are
	// active are so now.
	Evacuations *carobtable.Table[carobcentre.Centre, carobevacuation.Evacuation]
	// EvacuationNotices are the states that all messages carry.
	EvacuationNotices []carobevacuation.Evacuation
	// AwaitingLog is true after a start until the node has read the log, which may hold newer
	// profiles. Until then no profile from the log is in force.
	AwaitingLog bool
	// ProfilesRead is the offset of the newest profile change that was applied; BeforeFirst if
	// there is none. It never decreases.
	ProfilesRead caroboffset.Offset
	// Profiles has the profiles in force.
	Profiles *carobtable.Table[carobname.Name, carobrevision.Revision]
	// RecentChanges has the most recently applied records, to send to nodes that lack them.
	RecentChanges *carobtable.Table[caroboffset.Offset, carobrecord.Record]
	// ChangesAfterGap has the records that follow a gap in the offsets. All their offsets are
	// above ProfilesRead.
	ChangesAfterGap *carobtable.Table[caroboffset.Offset, carobrecord.Record]
	// SnapshotOffset is the offset of the newest snapshot in the log, and SnapshotLastOffset the
	// last offset that the snapshot covers. Both are BeforeFirst if no snapshot is known.
	SnapshotOffset     caroboffset.Offset
	SnapshotLastOffset caroboffset.Offset

	// Quotas.

	// QuotasInForce is true if an organisation of the route table in force has a quota. All
	// tables of this section are empty otherwise.
	QuotasInForce bool
	// CountedNodes has the other nodes that may be using their share of the quotas.
	CountedNodes *carobtable.Table[carobnodeid.ID, carobcountednode.CountedNode]
	// QuotaNodes is the number of nodes that the quotas are divided by, this one included.
	QuotaNodes int
	// QuotaShareUsable is true while this node may use or lend its share.
	QuotaShareUsable bool
	// QuotaStocks has the organisations with a quota that this node has had calls of recently.
	QuotaStocks *carobtable.Table[caroborganisationid.ID, carobquotastock.QuotaStock]
	// LoweredQuotas has the version of the route table that last lowered the limit of each
	// organisation.
	LoweredQuotas *carobtable.Table[caroborganisationid.ID, carobrouteversion.Version]
	// QuotaWaiting is the number of calls that wait for a token.
	QuotaWaiting int
	// QuotaUrgent is true if a call began to wait for a token after the last request.
	QuotaUrgent bool
	// OwnQuotaSince is since when this node uses its own share; Never while it does not.
	OwnQuotaSince carobinstant.Instant
	// QuotaLedger is the account of the shares that are lent to this node as an allocator,
	// QuotaBuckets has the organisations that it allocates tokens of, and QuotaLeases the nodes
	// that have requested tokens, this one included.
	QuotaLedger  carobquotaledger.QuotaLedger
	QuotaBuckets *carobtable.Table[caroborganisationid.ID, carobquotabucket.QuotaBucket]
	QuotaLeases  *carobtable.Table[carobnodeid.ID, carobquotalease.QuotaLease]

	// Tracing.

	// OpenCallHops has the hops of the calls that this node is the entry of.
	OpenCallHops *carobtable.Table[carobcallid.ID, carobopenhop.OpenHop]
	// OpenJobHops has the hops of the jobs at the node's own targets.
	OpenJobHops *carobtable.Table[carobjobid.ID, carobopenhop.OpenHop]

	// The current tick.

	Inbox  carobinbox.Inbox
	Outbox caroboutbox.Outbox

	// checksums is the last result of Checksums, nil before the first, which holds while
	// PeerChanges is checksumsAt and this node's description has the version checksumsOf.
	checksums   []uint64
	checksumsAt uint64
	checksumsOf carobmemberversion.Version

	// wake is when the next tick is due even if no input arrives.
	wake carobinstant.Instant
}

// Row limits of the tables of profile records.
const (
	maxRecentChanges   = 256
	maxChangesAfterGap = 1024
)

// maxPendingHeartbeats is the maximum number of rows of PendingHeartbeats.
const maxPendingHeartbeats = 64

// maxWithdrawals is the maximum number of rows of Withdrawals.
const maxWithdrawals = 64

// NewWorld returns a World with empty tables. Zero RetryLimits are replaced by the defaults.
func NewWorld(c Config) *World {
	const (
		randomStream = 1
		// probeBuckets is the number of rows of ProbeBuckets: one each for bytes and processor time.
		probeBuckets = 2
	)
	if c.RetryLimits == (carobretrylimits.RetryLimits{}) {
		c.RetryLimits = carobretrylimits.NewRetryLimits()
	}
	w := &World{
		Self:           c.Self,
		ProfilesRead:   caroboffset.BeforeFirst,
		SnapshotOffset: caroboffset.BeforeFirst, SnapshotLastOffset: caroboffset.BeforeFirst,
		RecentChanges:     carobtable.NewTable[caroboffset.Offset, carobrecord.Record](carobtable.Config{Limit: maxRecentChanges}),
		ChangesAfterGap:   carobtable.NewTable[caroboffset.Offset, carobrecord.Record](carobtable.Config{Limit: maxChangesAfterGap}),
		Limits:            c.Limits,
		ProbeLimits:       c.ProbeLimits,
		Random:            rand.New(rand.NewPCG(c.Seed, randomStream)), //nolint:gosec // runs must be reproducible from a seed
		Targets:           carobtable.NewTable[carobtargetid.ID, carobtarget.Target](carobtable.Config{Limit: c.Limits.Targets}),
		Instances:         carobtable.NewTable[carobaddress.Address, carobinstance.Instance](carobtable.Config{Limit: carobmember.MaxTargets}),
		Withdrawals:       carobevictingmap.NewEvictingMap[carobname.Name, carobincarnation.Incarnation](carobevictingmap.Config{Limit: maxWithdrawals}),
		RetryLimits:       c.RetryLimits,
		Groups:            carobtable.NewTable[carobservice.Service, carobgroup.Group](carobtable.Config{Limit: c.Limits.Targets}),
		ProbeBuckets:      carobtable.NewTable[carobname.Name, carobtokenbucket.TokenBucket](carobtable.Config{Limit: probeBuckets}),
		Latencies:         carobtable.NewTable[carobservice.Service, caroblatency.Latency](carobtable.Config{Limit: c.Limits.Targets}),
		Loads:             carobtable.NewTable[carobtargetid.ID, carobload.Load](carobtable.Config{Limit: c.Limits.Targets}),
		AdmissionStates:   carobtable.NewTable[carobtargetid.ID, carobadmissionstate.AdmissionState](carobtable.Config{Limit: c.Limits.Targets}),
		PendingGossip:     carobtable.NewTable[carobnodeid.ID, struct{}](carobtable.Config{Limit: c.Limits.Peers}),
		LoggedMembers:     carobtable.NewTable[carobnodeid.ID, carobmember.Member](carobtable.Config{Limit: c.Limits.Peers}),
		PendingHeartbeats: carobtable.NewTable[uint64, carobpendingheartbeat.PendingHeartbeat](carobtable.Config{Limit: maxPendingHeartbeats}),
		ClockBounds:       carobevictingmap.NewEvictingMap[carobaddress.Address, carobclockbound.ClockBound](carobevictingmap.Config{Limit: c.Limits.Peers}),
		Peers:             carobtable.NewTable[carobnodeid.ID, carobpeer.Peer](carobtable.Config{Limit: c.Limits.Peers}),
		Evacuations:       carobtable.NewTable[carobcentre.Centre, carobevacuation.Evacuation](carobtable.Config{Limit: carobevacuation.MaxRows}),
		OpenCallHops:      carobtable.NewTable[carobcallid.ID, carobopenhop.OpenHop](carobtable.Config{Limit: 2 * c.Limits.Calls}),
		OpenJobHops:       carobtable.NewTable[carobjobid.ID, carobopenhop.OpenHop](carobtable.Config{Limit: 2 * c.Limits.Jobs}),
		Profiles:          carobtable.NewTable[carobname.Name, carobrevision.Revision](carobtable.Config{Limit: carobrevision.MaxProfiles}),
	}
	w.makeCallTables(c.Limits)
	w.makeDemandTables()
	w.makeQuotaTables(c)
	return w
}

// Owns reports whether the target is on this node's VM.
func (w *World) Owns(target *carobtarget.Target) bool {
	return target.Node == w.Self.Node
}

// RoutesVersion returns the version of the route table in force; None if there is no
// table.
func (w *World) RoutesVersion() carobrouteversion.Version {
	if w.RouteTable == nil {
		return carobrouteversion.None
	}
	return w.RouteTable.Version
}

// ColdRate returns the number of calls a second that a cold target of a service may get by the
// route table in force; 0 if there is no limit.
func (w *World) ColdRate(service carobservice.Service) carobcallrate.CallRate {
	if w.RouteTable == nil {
		return 0
	}
	if rule := w.RouteTable.ServiceRule(service); rule != nil {
		return rule.ColdRate
	}
	return 0
}
