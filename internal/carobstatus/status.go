// Package carobstatus holds the state of the system as one node sees it, for
// operators.
package carobstatus

import (
	"cmp"
	"slices"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprobing"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Status is the state of a node's tables at one instant.
type Status struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Region      carobregion.Region           `json:"region"`
	Centre      carobcentre.Centre           `json:"centre"`
	// Stopping is true while the node is shutting down.
	Stopping bool `json:"stopping"`
	// Calls and Jobs count those in flight.
	Calls int `json:"calls"`
	Jobs  int `json:"jobs"`
	// Routes is the version of the route table in force; None if there is none.
	Routes carobrouteversion.Version `json:"routes"`
	// Rejected is the newest published route table if it cannot be read; nil otherwise.
	Rejected *carobrouterejection.RouteRejection `json:"rejected,omitempty"`
	// Targets, Peers and Profiles are sorted by name.
	Targets  []target  `json:"targets"`
	Peers    []peer    `json:"peers"`
	Profiles []profile `json:"profiles"`
	// Overhead is the cost of probes, reports and hedges since the start.
	Overhead overhead `json:"measured"`
}

// overhead is what the node has spent of its probe limits and retry budgets.
type overhead struct {
	// RetryBudgetSpent is the total spent of all retry budgets, so it includes resent
	// attempts.
	RetryBudgetSpent uint64 `json:"hedges"`
	// ProbeBytes is the number of bytes that were charged to the probe limits.
	ProbeBytes float64 `json:"bytes"`
	// ProbeSeconds is the processor time that was charged to the probe limits.
	ProbeSeconds float64 `json:"seconds"`
	// DeniedProbes counts the messages that the probe limits did not allow.
	DeniedProbes uint64 `json:"denied"`
}

// target is a target as this node sees it. The load of the node's own targets is the
// present one; that of others is from their newest report.
type target struct {
	ID        carobtargetid.ID         `json:"id"`
	Node      carobnodeid.ID           `json:"node"`
	Profile   carobname.Name           `json:"profile"`
	Readiness carobreadiness.Readiness `json:"state"`
	Slots     int                      `json:"slots"`
	Running   int                      `json:"running"`
	Queued    int                      `json:"queued"`
	Latency   carobduration.Duration   `json:"latency"`
	// ReportAge is the age of the report; 0 for own targets and without a report.
	ReportAge carobduration.Duration `json:"age"`
	// LoadKnown is false if the load is unknown because there is no report.
	LoadKnown bool `json:"known"`
	Ejected   bool `json:"ejected"`
}

// peer is another node.
type peer struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Centre      carobcentre.Centre           `json:"centre"`
	Leaving     bool                         `json:"leaving"`
	// SinceLastHeard is the time since the last message from the peer; before the first
	// one, since this node learned of the peer.
	SinceLastHeard carobduration.Duration `json:"age"`
}

// profile is the revision of a profile that is in force.
type profile struct {
	Name   carobname.Name     `json:"name"`
	Offset caroboffset.Offset `json:"offset"`
	// PublishedBy is the operator who published the revision.
	PublishedBy string `json:"who"`
}

// Describe returns the status of a world. It has to run on the control goroutine.
func Describe(w *carobworld.World, now carobinstant.Instant) Status {
	status := Status{
		Node: w.Self.Node, Incarnation: w.Self.Incarnation, Region: w.Self.Region, Centre: w.Self.Centre,
		Stopping: w.Stopping, Calls: w.Calls.Len(), Jobs: w.Jobs.Len(),
		Routes: w.RoutesVersion(), Rejected: w.RouteRejection,
		Targets: []target{}, Peers: []peer{}, Profiles: []profile{},
	}
	for id, tg := range w.Targets.All() {
		status.Targets = append(status.Targets, describeTarget(w, now, id, tg))
	}
	for id, pr := range w.Peers.All() {
		status.Peers = append(status.Peers, peer{
			Node: id, Incarnation: pr.Member.Incarnation, Centre: pr.Member.Centre,
			Leaving: pr.Member.Leaving, SinceLastHeard: carobduration.Duration(now.Sub(pr.LastContactAt)),
		})
	}
	for name, revision := range w.Profiles.All() {
		status.Profiles = append(status.Profiles, profile{Name: name, Offset: revision.Offset, PublishedBy: revision.Change.Who})
	}
	if bucket := w.ProbeBuckets.Get(carobprobing.BytesBucket); bucket != nil {
		status.Overhead.ProbeBytes, status.Overhead.DeniedProbes = bucket.Spent, bucket.Denied
	}
	if bucket := w.ProbeBuckets.Get(carobprobing.CPUTimeBucket); bucket != nil {
		status.Overhead.ProbeSeconds = bucket.Spent
	}
	for _, budget := range w.RetryBudgets.All() {
		status.Overhead.RetryBudgetSpent += budget.Spent
	}
	slices.SortFunc(status.Targets, func(a, b target) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	slices.SortFunc(status.Peers, func(a, b peer) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(status.Profiles, func(a, b profile) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

func describeTarget(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, tg *carobtarget.Target) target {
	result := target{ID: id, Node: tg.Node, Profile: tg.Profile, Readiness: tg.Readiness, Slots: tg.Slots}
	load := w.Loads.Get(id)
	result.Ejected = load != nil && load.EjectionEnd != carobinstant.Never
	if admission := w.AdmissionStates.Get(id); admission != nil && w.Owns(tg) {
		result.Running, result.Queued, result.Latency, result.LoadKnown = admission.Running, admission.Queued, carobduration.Duration(admission.Latency), true
		return result
	}
	if load == nil || load.ReportedAt == carobinstant.Never {
		return result
	}
	result.Running, result.Queued, result.Latency = load.Report.Running, load.Report.Queued, load.Report.Latency
	result.ReportAge, result.LoadKnown = carobduration.Duration(now.Sub(load.ReportedAt)), true
	return result
}
