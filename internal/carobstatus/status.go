// Package carobstatus holds one node's view of the system, for operators.
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
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Status is what a node knows at one instant.
type Status struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Region      carobregion.Region           `json:"region"`
	Centre      carobcentre.Centre           `json:"centre"`
	// Stopping says that the node is shutting down.
	Stopping bool `json:"stopping"`
	// Calls and Jobs are how many are in flight.
	Calls int `json:"calls"`
	Jobs  int `json:"jobs"`
	// Targets, Peers and Profiles are in the order of their names.
	Targets  []target  `json:"targets"`
	Peers    []peer    `json:"peers"`
	Profiles []profile `json:"profiles"`
	// Measured is what measuring and hedging have cost since the start.
	Measured measured `json:"measured"`
}

// measured is what the node spent of its budgets.
type measured struct {
	Hedges uint64 `json:"hedges"`
	// Bytes is what was sent for measuring, Seconds the processor time; Denied
	// counts what the budget did not allow.
	Bytes   float64 `json:"bytes"`
	Seconds float64 `json:"seconds"`
	Denied  uint64  `json:"denied"`
}

// target is a target as this node sees it. Of its own targets it knows the
// load now; of others the newest report.
type target struct {
	ID      carobtargetid.ID         `json:"id"`
	Node    carobnodeid.ID           `json:"node"`
	Profile carobname.Name           `json:"profile"`
	State   carobreadiness.Readiness `json:"state"`
	Slots   int                      `json:"slots"`
	Running int                      `json:"running"`
	Queued  int                      `json:"queued"`
	Latency carobduration.Duration   `json:"latency"`
	// Age is that of the report; 0 for own targets.
	Age carobduration.Duration `json:"age"`
	// Known is false while there is no report.
	Known   bool `json:"known"`
	Ejected bool `json:"ejected"`
}

type peer struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Centre      carobcentre.Centre           `json:"centre"`
	Leaving     bool                         `json:"leaving"`
	// Age is the time since the node's newest word came.
	Age carobduration.Duration `json:"age"`
}

type profile struct {
	Name   carobname.Name     `json:"name"`
	Offset caroboffset.Offset `json:"offset"`
	Who    string             `json:"who"`
}

// Describe returns the status of a world. It runs on the control goroutine.
func Describe(w *carobworld.World, now carobinstant.Instant) Status {
	st := Status{
		Node: w.Self.Node, Incarnation: w.Self.Incarnation, Region: w.Self.Region, Centre: w.Self.Centre,
		Stopping: w.Stopping, Calls: w.Calls.Len(), Jobs: w.Jobs.Len(),
		Targets: []target{}, Peers: []peer{}, Profiles: []profile{},
	}
	for id, tg := range w.Targets.All() {
		st.Targets = append(st.Targets, describeTarget(w, now, id, tg))
	}
	for id, pr := range w.Peers.All() {
		st.Peers = append(st.Peers, peer{
			Node: id, Incarnation: pr.Member.Incarnation, Centre: pr.Member.Centre,
			Leaving: pr.Member.Leaving, Age: carobduration.Duration(now.Sub(pr.LastContactAt)),
		})
	}
	for name, rv := range w.Profiles.All() {
		st.Profiles = append(st.Profiles, profile{Name: name, Offset: rv.Offset, Who: rv.Change.Who})
	}
	if bk := w.ProbeBuckets.Get(carobprobing.BytesBucket); bk != nil {
		st.Measured.Bytes, st.Measured.Denied = bk.Spent, bk.Denied
	}
	if bk := w.ProbeBuckets.Get(carobprobing.CPUTimeBucket); bk != nil {
		st.Measured.Seconds = bk.Spent
	}
	for _, bg := range w.RetryBudgets.All() {
		st.Measured.Hedges += bg.Spent
	}
	slices.SortFunc(st.Targets, func(a, b target) int { return cmp.Compare(a.ID.String(), b.ID.String()) })
	slices.SortFunc(st.Peers, func(a, b peer) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(st.Profiles, func(a, b profile) int { return cmp.Compare(a.Name, b.Name) })
	return st
}

func describeTarget(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, tg *carobtarget.Target) target {
	ds := target{ID: id, Node: tg.Node, Profile: tg.Profile, State: tg.Readiness, Slots: tg.Slots}
	ld := w.Loads.Get(id)
	ds.Ejected = ld != nil && ld.EjectionEnd != carobinstant.Never
	if gt := w.AdmissionStates.Get(id); gt != nil && w.Owns(tg) {
		ds.Running, ds.Queued, ds.Latency, ds.Known = gt.Running, gt.Queued, carobduration.Duration(gt.Latency), true
		return ds
	}
	if ld == nil || ld.ReportedAt == carobinstant.Never {
		return ds
	}
	ds.Running, ds.Queued, ds.Latency = ld.Report.Running, ld.Report.Queued, ld.Report.Latency
	ds.Age, ds.Known = carobduration.Duration(now.Sub(ld.ReportedAt)), true
	return ds
}
