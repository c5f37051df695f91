// Package carobfencing answers fences: it returns the state of a job and guarantees
// that a job whose state it returns as Never does not run later.
//
// The node records which jobs it fenced (tombstones) and which jobs have ended.
// Without the tombstones an offer that arrives late would start a fenced job; without
// the ended jobs a job that ran would be reported as Never. Both records are bounded.
// Evicted entries are replaced by a watermark for each entry node: offers up to the
// watermark are refused, and fences up to it get Unknown. Both answers are safe, and no
// eviction depends on a clock.
package carobfencing

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobwatermark"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System answers the fences of other nodes.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run sends a reply to each fence received in this tick.
func (s *System) Run(world *carobworld.World, _ carobinstant.Instant) {
	for _, message := range world.Inbox.Messages {
		if fence := message.Fence; fence != nil {
			world.SendMessage(carobmessage.Message{To: message.ReplyTo, FenceReply: &carobfencereply.FenceReply{Job: fence.Job, State: Fence(world, *fence)}})
		}
	}
}

// Fence returns the state of a job. A job that has not started is fenced: it is refused
// now if it is queued, or else when its offer arrives.
func Fence(world *carobworld.World, fence carobfence.Fence) carobjobstate.JobState {
	if fence.Incarnation != world.Self.Incarnation {
		return carobjobstate.Unknown
	}
	if job := world.Jobs.Get(fence.Job); job != nil {
		if job.StartedAt != carobinstant.Never {
			return carobjobstate.Running
		}
		RefuseQueued(world, job, carobkind.Withdrawn)
		return carobjobstate.Never
	}
	if _, ok := world.EndedJobs.Get(fence.Job); ok {
		return carobjobstate.Done
	}
	if _, ok := world.Tombstones.Get(fence.Job); ok {
		return carobjobstate.Never
	}
	// The watermark of ended jobs goes before that of tombstones: a job that both cover
	// may have run.
	if mayHaveRun(world, fence.Job.Call) {
		return carobjobstate.Unknown
	}
	if IsFenced(world, fence.Job) {
		return carobjobstate.Never
	}
	addTombstone(world, fence.Job)
	return carobjobstate.Never
}

// RefuseQueued removes a job that has not started from its queue, refuses it with the given
// kind, and prevents later offers of it from starting.
func RefuseQueued(world *carobworld.World, job *carobjob.Job, kind carobkind.Kind) {
	state := world.AdmissionStates.Get(job.Offer.Target)
	state.Queued--
	state.ReportDue = true
	world.Outbox.Refusals = append(world.Outbox.Refusals, carobrefusal.Refusal{Job: job.Offer.Job, Kind: kind})
	addTombstone(world, job.Offer.Job)
	world.Jobs.Delete(job.Offer.Job)
}

// IsFenced reports whether a job must not run: it has a tombstone, or its tombstone may
// have been evicted.
func IsFenced(world *carobworld.World, job carobjobid.ID) bool {
	if _, ok := world.Tombstones.Get(job); ok {
		return true
	}
	watermark, ok := world.Watermarks.Get(job.Call.Node)
	if !ok {
		return world.EvictedFencedIncarnation > 0 && job.Call.Incarnation <= world.EvictedFencedIncarnation
	}
	return covers(watermark, job.Call, watermark.FencedSequence)
}

// RecordEnded records that a started job has ended. An evicted older entry raises
// EndedSequence in the watermark of its entry node.
func RecordEnded(world *carobworld.World, finish carobfinish.Finish) {
	if old, _, full := world.EndedJobs.Put(finish.Job, finish); full {
		watermark := watermarkFor(world, old.Call)
		watermark.EndedSequence = max(watermark.EndedSequence, old.Call.Sequence)
		putWatermark(world, old.Call, watermark)
	}
}

// addTombstone prevents a job that has not started from starting later. An evicted
// older tombstone raises the FencedSequence of the watermark of its entry node.
func addTombstone(world *carobworld.World, job carobjobid.ID) {
	if old, _, full := world.Tombstones.Put(job, struct{}{}); full {
		watermark := watermarkFor(world, old.Call)
		watermark.FencedSequence = max(watermark.FencedSequence, old.Call.Sequence)
		putWatermark(world, old.Call, watermark)
	}
}

// mayHaveRun reports whether a job of the call may have run and ended although it has
// no entry in EndedJobs, because entries of its entry node were evicted.
func mayHaveRun(world *carobworld.World, call carobcallid.ID) bool {
	watermark, ok := world.Watermarks.Get(call.Node)
	if !ok {
		return world.EvictedIncarnation > 0 && call.Incarnation <= world.EvictedIncarnation
	}
	return covers(watermark, call, watermark.EndedSequence)
}

// covers reports whether a call's incarnation is older than the watermark's, or is the
// same and the call's sequence is not above the bound.
func covers(watermark carobwatermark.Watermark, call carobcallid.ID, bound uint64) bool {
	if call.Incarnation != watermark.Incarnation {
		return call.Incarnation < watermark.Incarnation
	}
	return call.Sequence <= bound
}

// watermarkFor returns a copy of the watermark of a call's entry node; a new one if
// there is none, or if the call is of a newer incarnation.
func watermarkFor(world *carobworld.World, call carobcallid.ID) carobwatermark.Watermark {
	watermark, ok := world.Watermarks.Get(call.Node)
	if !ok || watermark.Incarnation < call.Incarnation {
		return carobwatermark.Watermark{Incarnation: call.Incarnation}
	}
	return watermark
}

// putWatermark stores the watermark of a call's entry node. It does nothing if the
// watermark is of a newer incarnation than the call, since it then covers the call
// already. An evicted watermark raises the world's EvictedIncarnation and
// EvictedFencedIncarnation.
func putWatermark(world *carobworld.World, call carobcallid.ID, watermark carobwatermark.Watermark) {
	if watermark.Incarnation != call.Incarnation {
		return
	}
	if _, old, full := world.Watermarks.Put(call.Node, watermark); full {
		world.EvictedIncarnation = max(world.EvictedIncarnation, old.Incarnation)
		if old.FencedSequence > 0 {
			world.EvictedFencedIncarnation = max(world.EvictedFencedIncarnation, old.Incarnation)
		}
	}
}
