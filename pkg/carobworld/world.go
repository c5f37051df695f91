// Package carobworld holds all control state of a node.
package carobworld

import (
	"math/rand/v2"
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobbucket"
	"github.com/carobknot/carobknot/pkg/carobbudget"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinquiry"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblife"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmeasure"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobpace"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobretries"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobring"
	"github.com/carobknot/carobknot/pkg/carobroutes"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobtable"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtrace"
	"github.com/carobknot/carobknot/pkg/carobunsettled"
	"github.com/carobknot/carobknot/pkg/carobwatermark"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Config is how a world is made.
type Config struct {
	// Self describes this node as others will hear of it.
	Self    carobmember.Member
	Limits  caroblimits.Limits
	Measure carobmeasure.Measure
	Retries carobretries.Retries
	// Seed is what all random choices follow from.
	Seed uint64
}

// World is the tables of a node, and the messages and effects of the tick at
// hand. It belongs to the control goroutine.
type World struct {
	// Self is this node; its Targets are filled in when it is gossiped.
	Self    carobmember.Member
	Limits  caroblimits.Limits
	Measure carobmeasure.Measure
	Retries carobretries.Retries
	// Random is the only source of chance for systems.
	Random *rand.Rand
	// Stopping says that the node is shutting down.
	Stopping bool
	// Ending is when the node ends at the latest; Never while it is to stay.
	Ending carobinstant.Instant

	// Membership and targets.

	// Targets has all targets known, the node's own among them.
	Targets *carobtable.Table[carobtargetid.ID, carobtarget.Target]
	// Lives has the newest life of a target at each address on the VM.
	Lives *carobtable.Table[carobaddress.Address, caroblife.Life]
	// TargetsChanged says that Groups does not match Targets yet.
	TargetsChanged bool
	// Groups has the services of Targets.
	Groups *carobtable.Table[carobservice.Service, carobgroup.Group]
	// Peers has all other nodes known.
	Peers *carobtable.Table[carobnodeid.ID, carobpeer.Peer]
	// PeerChanges counts the changes of Peers.
	PeerChanges uint64
	// News has the peers whose newest word is still to be passed on.
	News *carobtable.Table[carobnodeid.ID, struct{}]
	// Hints has where nodes were by the log, of nodes that are not known.
	Hints *carobtable.Table[carobnodeid.ID, carobaddress.Address]
	// Inquiries has the probes that are not answered, by their numbers.
	Inquiries *carobtable.Table[uint64, carobinquiry.Inquiry]
	// Farewell says that this node has said goodbye to the others.
	Farewell bool

	// Routing and measuring.

	// Loads has the entry side's view of targets.
	Loads *carobtable.Table[carobtargetid.ID, carobload.Load]
	// Buckets has the budget of measuring.
	Buckets *carobtable.Table[carobword.Word, carobbucket.Bucket]
	// Paces has how fast services answer.
	Paces *carobtable.Table[carobservice.Service, carobpace.Pace]

	// Calls, admission and claims.

	// Calls has the calls that this node is the entry of.
	Calls *carobtable.Table[carobcallid.ID, carobcall.Call]
	// Gates has the admission side's state of the node's own targets.
	Gates *carobtable.Table[carobtargetid.ID, carobgate.Gate]
	// Jobs has the jobs at the node's own targets.
	Jobs *carobtable.Table[carobjobid.ID, carobjob.Job]
	// Ended has the newest started jobs that have ended.
	Ended *carobring.Ring[carobjobid.ID, carobfinish.Finish]
	// Tombstones has the newest jobs that were promised never to run.
	Tombstones *carobring.Ring[carobjobid.ID, struct{}]
	// Watermarks stand in for the forgotten rows of Ended and Tombstones.
	Watermarks *carobring.Ring[carobnodeid.ID, carobwatermark.Watermark]
	// Forgotten and Barred stand in for forgotten watermarks: the newest
	// incarnation of those, and of those with tombstones. They never go down.
	Forgotten, Barred carobincarnation.Incarnation
	// Budgets has the budget of each service's resends and hedges.
	Budgets *carobtable.Table[carobservice.Service, carobbudget.Budget]
	// Homes has the shards of idempotency keys that this node is home of.
	Homes *carobtable.Table[carobshard.Shard, carobhome.Home]
	// Commits counts the batches of claims of this node.
	Commits uint64
	// Unsettled has the ended calls whose ends their homes do not have yet.
	Unsettled *carobtable.Table[carobcallid.ID, carobunsettled.Unsettled]
	// Paused says that more time passed before this tick than ticks allow.
	Paused bool

	// Profiles and routes.

	// Routes is the route table in force; nil if none is known. Its version never
	// goes down.
	Routes *carobroutes.Routes
	// Behind says that the log may have newer profiles than this node, which has
	// just started. None is in force until then.
	Behind bool
	// ProfilesRead is the offset of the newest change that was folded in. It
	// never goes down.
	ProfilesRead caroboffset.Offset
	// Profiles has the profiles in force.
	Profiles *carobtable.Table[carobword.Word, carobrevision.Revision]
	// Changes has the newest records that were folded in, for nodes that miss them.
	Changes *carobtable.Table[caroboffset.Offset, carobrecord.Record]
	// HeldChanges has the records behind a gap; all offsets are above ProfilesRead.
	HeldChanges *carobtable.Table[caroboffset.Offset, carobrecord.Record]
	// Snapshot is the offset of the newest snapshot in the log, and
	// SnapshotThrough the last offset that one holds; None if none is known.
	Snapshot        caroboffset.Offset
	SnapshotThrough caroboffset.Offset

	// Tracing.

	// CallTraces has the hops of the calls that this node is the entry of.
	CallTraces *carobtable.Table[carobcallid.ID, carobtrace.Trace]
	// JobTraces has the hops of the jobs at the node's own targets.
	JobTraces *carobtable.Table[carobjobid.ID, carobtrace.Trace]

	// The tick at hand.

	Inbox  carobinbox.Inbox
	Outbox caroboutbox.Outbox

	// wake is when the next tick is due though no message comes.
	wake carobinstant.Instant
}

// Bounds of the tables of profile records.
const (
	keptChanges = 256
	heldChanges = 1024
)

// inquiries is the most probes that wait for an answer.
const inquiries = 64

// NewWorld returns a world with empty tables.
func NewWorld(c Config) *World {
	const (
		stream = 1
		// measures is how many things the budget of measuring caps.
		measures = 2
	)
	if c.Retries == (carobretries.Retries{}) {
		c.Retries = carobretries.NewRetries()
	}
	w := &World{
		Self:         c.Self,
		ProfilesRead: caroboffset.None,
		Snapshot:     caroboffset.None, SnapshotThrough: caroboffset.None,
		Changes:     carobtable.NewTable[caroboffset.Offset, carobrecord.Record](carobtable.Config{Limit: keptChanges}),
		HeldChanges: carobtable.NewTable[caroboffset.Offset, carobrecord.Record](carobtable.Config{Limit: heldChanges}),
		Limits:      c.Limits,
		Measure:     c.Measure,
		Random:      rand.New(rand.NewPCG(c.Seed, stream)), //nolint:gosec // choices must repeat under a seed
		Targets:     carobtable.NewTable[carobtargetid.ID, carobtarget.Target](carobtable.Config{Limit: c.Limits.Targets}),
		Lives:       carobtable.NewTable[carobaddress.Address, caroblife.Life](carobtable.Config{Limit: carobmember.MostTargets}),
		Retries:     c.Retries,
		Groups:      carobtable.NewTable[carobservice.Service, carobgroup.Group](carobtable.Config{Limit: c.Limits.Targets}),
		Buckets:     carobtable.NewTable[carobword.Word, carobbucket.Bucket](carobtable.Config{Limit: measures}),
		Paces:       carobtable.NewTable[carobservice.Service, carobpace.Pace](carobtable.Config{Limit: c.Limits.Targets}),
		Loads:       carobtable.NewTable[carobtargetid.ID, carobload.Load](carobtable.Config{Limit: c.Limits.Targets}),
		Gates:       carobtable.NewTable[carobtargetid.ID, carobgate.Gate](carobtable.Config{Limit: c.Limits.Targets}),
		News:        carobtable.NewTable[carobnodeid.ID, struct{}](carobtable.Config{Limit: c.Limits.Peers}),
		Hints:       carobtable.NewTable[carobnodeid.ID, carobaddress.Address](carobtable.Config{Limit: c.Limits.Peers}),
		Inquiries:   carobtable.NewTable[uint64, carobinquiry.Inquiry](carobtable.Config{Limit: inquiries}),
		Peers:       carobtable.NewTable[carobnodeid.ID, carobpeer.Peer](carobtable.Config{Limit: c.Limits.Peers}),
		CallTraces:  carobtable.NewTable[carobcallid.ID, carobtrace.Trace](carobtable.Config{Limit: 2 * c.Limits.Calls}),
		JobTraces:   carobtable.NewTable[carobjobid.ID, carobtrace.Trace](carobtable.Config{Limit: 2 * c.Limits.Jobs}),
		Profiles:    carobtable.NewTable[carobword.Word, carobrevision.Revision](carobtable.Config{Limit: carobrevision.Most}),
	}
	w.makeCalls(c.Limits)
	return w
}

// WakeAt asks for a tick at an instant at the latest.
func (w *World) WakeAt(at carobinstant.Instant) {
	w.wake = carobinstant.Earlier(w.wake, at)
}

// Wake returns when the next tick is due, or Never.
func (w *World) Wake() carobinstant.Instant {
	return w.wake
}

// Begin takes in the messages of a new tick.
func (w *World) Begin(in carobinbox.Inbox) {
	w.Inbox = in
	w.Outbox = caroboutbox.Outbox{}
	w.wake = carobinstant.Never
	if in.Ending != carobinstant.Never {
		w.Ending = in.Ending
	}
	if in.Stop && !w.Stopping {
		w.Stopping = true
		w.Self.Beat++
	}
}

// ProfileOf returns the profile in force for a service, or nil if its targets
// or the profile that they picked are not known. Those that stand in the settings
// do not wait for the log.
func (w *World) ProfileOf(service carobservice.Service) *carobprofile.Profile {
	gp := w.Groups.Get(service)
	if gp == nil {
		return nil
	}
	rv := w.Profiles.Get(gp.Profile)
	if rv == nil || w.Behind && rv.Offset != caroboffset.None {
		return nil
	}
	return &rv.Change.Profile
}

// BudgetOf returns the budget of a service's resends and hedges. When the table
// is full, a service without a row has none to spend.
func (w *World) BudgetOf(service carobservice.Service) *carobbudget.Budget {
	if bg := w.Budgets.Get(service); bg != nil {
		return bg
	}
	if bg := w.Budgets.Put(service, carobbudget.Budget{Tokens: w.savedRetries()}); bg != nil {
		return bg
	}
	return &carobbudget.Budget{}
}

// EarnRetry takes a call into the budget of its service.
func (w *World) EarnRetry(service carobservice.Service) {
	w.BudgetOf(service).Earn(float64(w.Retries.Share), w.savedRetries())
}

// savedRetries returns the most resends that this node saves up.
func (w *World) savedRetries() float64 {
	return w.Retries.Most(w.Peers.Len() + 1)
}

// TakeSnapshot returns the profiles in force as they are now.
func (w *World) TakeSnapshot() carobsnapshot.Snapshot {
	sn := carobsnapshot.Snapshot{Through: w.ProfilesRead, Revisions: make([]carobrevision.Revision, 0, w.Profiles.Len())}
	for _, rv := range w.Profiles.All() {
		sn.Revisions = append(sn.Revisions, *rv)
	}
	return sn
}

// Owns reports whether the target is on this node's VM.
func (w *World) Owns(tg *carobtarget.Target) bool {
	return tg.Node == w.Self.Node
}

// RoutesVersion returns the version of the route table in force, or None.
func (w *World) RoutesVersion() carobrouteversion.Version {
	if w.Routes == nil {
		return carobrouteversion.None
	}
	return w.Routes.Version
}

// NoteRoutes adds a newer route table to the audit trail.
func (w *World) NoteRoutes(from string, rs *carobroutes.Routes) {
	w.Note("routes", from, "route table",
		strconv.FormatUint(uint64(w.RoutesVersion()), 10), strconv.FormatUint(uint64(rs.Version), 10))
}

// Tell sends a control message from this node.
func (w *World) Tell(ms carobmessage.Message) {
	ms.From, ms.Incarnation, ms.Back = w.Self.Node, w.Self.Incarnation, w.Self.Peer
	ms.RoutesVersion = w.RoutesVersion()
	w.Outbox.Messages = append(w.Outbox.Messages, ms)
}

// Decide adds a decision to what those on call can look up.
func (w *World) Decide(dc carobdecision.Decision) {
	w.Outbox.Decisions = append(w.Outbox.Decisions, dc)
}

// Note adds an entry to the audit trail: a part of the system saw that something
// changed, and by whom.
func (w *World) Note(part, who, what, from, to string) {
	w.Outbox.Audits = append(w.Outbox.Audits, carobaudit.Audit{Part: part, Who: who, What: what, From: from, To: to})
}
