// Package carobrouting picks the target of each attempt, by the policy of the
// call's profile.
package carobrouting

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// retryInterval is how long a call without a candidate waits until candidates
// are collected again.
const retryInterval = 20 * time.Millisecond

// System sends the attempts of the calls that wait for a target, and their
// hedges.
type System struct {
	// candidates is reused between calls to save allocations.
	candidates []candidate
	// withoutTarget has the services that had no candidate in this tick. Without it,
	// thousands of calls that wait for the same service would each search all its targets in
	// every tick.
	withoutTarget map[carobservice.Service]struct{}
	// sendNumber counts the attempts that were sent.
	sendNumber uint64
}

// NewSystem returns a System that has sent no attempts.
func NewSystem() *System {
	return &System{withoutTarget: map[carobservice.Service]struct{}{}}
}

// Run updates the loads from the replies of the tick and sends attempts for
// waiting calls.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, reply := range world.Inbox.AttemptReplies {
		recordReply(world, now, reply)
	}
	clear(s.withoutTarget)
	for _, call := range world.Calls.All() {
		switch {
		case call.Stage == carobstage.Waiting:
			s.place(world, now, call)
		case call.HedgeDue:
			s.placeHedge(world, now, call)
		}
	}
}

// place sends an attempt for a call whose backoff has ended, or schedules the
// next try if no target can receive it.
func (s *System) place(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.BackoffEnd != carobinstant.Never && !call.BackoffEnd.Reached(now) {
		world.WakeAt(call.BackoffEnd)
		return
	}
	if _, ok := s.withoutTarget[call.Arrival.Service]; ok {
		call.NoTarget = true
		return
	}
	s.collectCandidates(world, now, call)
	call.NoTarget = len(s.candidates) == 0
	if call.NoTarget {
		s.withoutTarget[call.Arrival.Service] = struct{}{}
		world.WakeAt(now.Add(retryInterval))
		return
	}
	estimateLoads(s.candidates)
	if call.Profile.LocalLoadLimit > 0 {
		s.candidates = preferSameCentre(s.candidates, float64(call.Profile.LocalLoadLimit))
	}
	chosen := policyOf(call.Profile.Policy).pick(world.Random, s.candidates)
	s.sendAttempt(world, now, call, s.candidates[chosen])
}

// placeHedge sends a second attempt beside the open one, if the policy picks a
// target that has a free slot and was not tried yet, and the retry budget of
// the service allows it.
func (s *System) placeHedge(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	call.HedgeDue = false
	if call.Stage != carobstage.Attempting {
		return
	}
	s.collectCandidates(world, now, call)
	if len(s.candidates) == 0 {
		return
	}
	estimateLoads(s.candidates)
	chosen := s.candidates[policyOf(call.Profile.Policy).pick(world.Random, s.candidates)]
	if chosen.inFlight < float64(chosen.slots) && !tried(call, chosen.targetID) && world.RetryBudgetOf(call.Arrival.Service).TakeToken() {
		s.sendAttempt(world, now, call, chosen)
	}
}

// collectCandidates lists the targets that may receive the next attempt.
// Targets that the call was already sent to are listed only if there is no
// other, and targets outside this node's subset only if none in the subset is
// available.
func (s *System) collectCandidates(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	s.candidates = s.candidates[:0]
	group := world.Groups.Get(call.Arrival.Service)
	if group == nil {
		return
	}
	preferred := subset(world, group, call.Profile.SubsetSize)
	for _, ids := range [][]carobtargetid.ID{preferred, group.Targets} {
		for _, alreadyTried := range []bool{false, true} {
			for _, id := range ids {
				if tried(call, id) == alreadyTried {
					s.addCandidate(world, now, call, id)
				}
			}
			if len(s.candidates) > 0 {
				return
			}
		}
	}
}

// addCandidate lists a target unless it is not ready, leaving, evacuated, ejected
// or on trial with an open attempt.
func (s *System) addCandidate(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, id carobtargetid.ID) {
	target := world.Targets.Get(id)
	if target == nil || target.Readiness != carobreadiness.Ready || world.Stopping && world.Owns(target) || world.IsTargetEvacuated(target) {
		return
	}
	added := candidate{targetID: id, nodeID: target.Node, slots: max(target.Slots, 1), incarnation: world.Self.Incarnation, sameCentre: true}
	if !world.Owns(target) {
		peer := world.Peers.Get(target.Node)
		if peer == nil || peer.Member.Leaving {
			return
		}
		added.peerAddress, added.incarnation = peer.Member.PeerAddress, peer.Member.Incarnation
		added.sameCentre = peer.Member.Centre == world.Self.Centre
		added.distance = distance(added.sameCentre, call.Arrival.Size)
	}
	if added.load = loadOf(world, id); added.load == nil || isUnavailable(added.load) {
		return
	}
	added.load.LastCandidateAt = now
	added.reportedAt = added.load.ReportedAt
	setReportedLoad(world, now, target, &added)
	s.candidates = append(s.candidates, added)
}

// maxMovableSize is the largest body that is sent a second time to avoid the
// wait for a slow target.
const maxMovableSize = 8 * carobsize.KiB

// distance returns the cost, in calls per slot, of reaching a target on another
// VM with a body of the given size.
func distance(sameCentre bool, size carobsize.Size) float64 {
	const (
		vmCost     = 0.1
		centreCost = 1.25
		// byteCost applies to bodies, which are expensive only between data
		// centres.
		byteCost = 1.0 / (32 << 10)
	)
	if sameCentre {
		return vmCost
	}
	return centreCost + byteCost*float64(size)
}

// isUnavailable reports whether a target is ejected, or on trial with an open attempt.
func isUnavailable(load *carobload.Load) bool {
	return load.EjectionEnd != carobinstant.Never || load.OnTrial && load.OpenAttempts > 0
}

// setReportedLoad sets the load of a candidate. For this node's own target it is
// taken from the admission state, which is always current; for others from the
// newest report, plus the attempts that this node has sent since.
func setReportedLoad(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target, added *candidate) {
	if state := world.AdmissionStates.Get(target.ID); state != nil && world.Owns(target) {
		added.reportedCalls, added.latency, added.reportedAt = float64(state.Running+state.Queued), state.Latency, now
		added.latencyAge = state.LatencyAge(now)
		added.limitSlots(state.CallLimit())
		return
	}
	report := &added.load.Report
	added.reportedCalls = float64(report.Running + report.Queued + added.load.SentSinceReport)
	added.reportAge = now.Sub(added.load.ReportedAt)
	added.latency, added.latencyAge = report.Latency.Duration(), added.reportAge
	if !isColdLimit(world, target.ID, report.RateLimit) || added.reportAge <= maxColdReportAge {
		added.limitSlots(report.RateLimit)
	}
}

// maxColdReportAge is the age up to which a report of a cold target's limit lowers the
// number of its slots. The target may have become warm since, and an entry that sends it
// nothing would not learn that. Heartbeats and health checks tell within about that time.
const maxColdReportAge = 2 * time.Second

// isColdLimit reports whether a target's limit is the one of a cold target by the
// operator's rule, and not one that the target names.
func isColdLimit(world *carobworld.World, target carobtargetid.ID, limit carobcallrate.CallRate) bool {
	return limit > 0 && limit == world.ColdRate(target.Service)
}

// knownLimit returns the rate limit of a target as this node knows it. A target without a
// report may be cold, which its node may not know either if it has just started and has no
// route table.
func knownLimit(world *carobworld.World, chosen *candidate) carobcallrate.CallRate {
	if chosen.load.ReportedAt == carobinstant.Never {
		return world.ColdRate(chosen.targetID.Service)
	}
	return chosen.load.Report.RateLimit
}

// tried reports whether an attempt of the call was already sent to the target.
func tried(call *carobcall.Call, id carobtargetid.ID) bool {
	for i := range call.Attempts {
		if call.Attempts[i].Target == id {
			return true
		}
	}
	return false
}

// sendAttempt records an attempt and orders it to be sent.
func (s *System) sendAttempt(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, chosen candidate) {
	call.Stage, call.LastKind = carobstage.Attempting, carobkind.None
	call.Attempts = append(call.Attempts, carobattempt.Attempt{
		Target: chosen.targetID, Node: chosen.nodeID, Incarnation: chosen.incarnation, SentAt: now,
	})
	s.sendNumber++
	chosen.load.SentSinceReport++
	chosen.load.OpenAttempts++
	chosen.load.LastSendNumber = s.sendNumber
	world.RecordDecision(carobdecision.Decision{
		Component: "route", Text: "attempt sent", Request: call.Arrival.Request, Call: call.Arrival.Call,
		Attempt: len(call.Attempts), Target: chosen.targetID,
		Inputs: []carobinput.Input{
			{Name: "candidates", Value: float64(len(s.candidates))},
			{Name: "flight", Value: math.Round(chosen.inFlight*10) / 10},
			{Name: "slots", Value: float64(chosen.slots)},
			{Name: "distance", Value: chosen.distance},
			carobinput.Age("reportms", now, chosen.reportedAt),
		},
	})
	requirements := call.Requirements(now)
	requirements.Behind = world.IsBehind(now, call)
	requirements.Movable = len(call.Attempts) == 1 && len(s.candidates) > 1 && call.Arrival.Size <= maxMovableSize
	world.Outbox.Sends = append(world.Outbox.Sends, carobsend.Send{
		Job:    carobjobid.ID{Call: call.Arrival.Call, Attempt: len(call.Attempts)},
		Target: chosen.targetID, PeerAddress: chosen.peerAddress, Incarnation: chosen.incarnation, TimeLeft: call.Deadline.Sub(now),
		Guarantee: call.Profile.Guarantee, Requirements: requirements,
		RemoveIdentity: call.RequiresKey, RateLimit: knownLimit(world, &chosen),
	})
}
