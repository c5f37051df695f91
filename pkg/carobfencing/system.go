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
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		if fc := ms.Fence; fc != nil {
			w.SendMessage(carobmessage.Message{To: ms.ReplyTo, FenceReply: &carobfencereply.FenceReply{Job: fc.Job, State: Fence(w, *fc)}})
		}
	}
}

// Fence returns the state of a job. A job that has not started is fenced: it is refused
// now if it is queued, or else when its offer arrives.
func Fence(w *carobworld.World, fc carobfence.Fence) carobjobstate.JobState {
	if fc.Incarnation != w.Self.Incarnation {
		return carobjobstate.Unknown
	}
	if jb := w.Jobs.Get(fc.Job); jb != nil {
		if jb.StartedAt != carobinstant.Never {
			return carobjobstate.Running
		}
		RefuseQueued(w, jb, carobkind.Withdrawn)
		return carobjobstate.Never
	}
	if _, ok := w.EndedJobs.Get(fc.Job); ok {
		return carobjobstate.Done
	}
	if IsFenced(w, fc.Job) {
		return carobjobstate.Never
	}
	if mayHaveRun(w, fc.Job.Call) {
		return carobjobstate.Unknown
	}
	addTombstone(w, fc.Job)
	return carobjobstate.Never
}

// RefuseQueued removes a job that has not started from its queue, refuses it with the given
// kind, and prevents later offers of it from starting.
func RefuseQueued(w *carobworld.World, jb *carobjob.Job, kind carobkind.Kind) {
	as := w.AdmissionStates.Get(jb.Offer.Target)
	as.Queued--
	as.ReportDue = true
	w.Outbox.Refusals = append(w.Outbox.Refusals, carobrefusal.Refusal{Job: jb.Offer.Job, Kind: kind})
	addTombstone(w, jb.Offer.Job)
	w.Jobs.Delete(jb.Offer.Job)
}

// IsFenced reports whether a job must not run: it has a tombstone, or its tombstone may
// have been evicted.
func IsFenced(w *carobworld.World, job carobjobid.ID) bool {
	if _, ok := w.Tombstones.Get(job); ok {
		return true
	}
	wm, ok := w.Watermarks.Get(job.Call.Node)
	if !ok {
		return w.EvictedFencedIncarnation > 0 && job.Call.Incarnation <= w.EvictedFencedIncarnation
	}
	return covers(wm, job.Call, wm.FencedSequence)
}

// RecordEnded records that a started job has ended. An evicted older entry raises
// EndedSequence in the watermark of its entry node.
func RecordEnded(w *carobworld.World, fn carobfinish.Finish) {
	if old, _, full := w.EndedJobs.Put(fn.Job, fn); full {
		wm := watermarkFor(w, old.Call)
		wm.EndedSequence = max(wm.EndedSequence, old.Call.Sequence)
		putWatermark(w, old.Call, wm)
	}
}

// addTombstone prevents a job that has not started from starting later. An evicted
// older tombstone raises the FencedSequence of the watermark of its entry node.
func addTombstone(w *carobworld.World, job carobjobid.ID) {
	if old, _, full := w.Tombstones.Put(job, struct{}{}); full {
		wm := watermarkFor(w, old.Call)
		wm.FencedSequence = max(wm.FencedSequence, old.Call.Sequence)
		putWatermark(w, old.Call, wm)
	}
}

// mayHaveRun reports whether a job of the call may have run and ended although it has
// no entry in EndedJobs, because entries of its entry node were evicted.
func mayHaveRun(w *carobworld.World, call carobcallid.ID) bool {
	wm, ok := w.Watermarks.Get(call.Node)
	if !ok {
		return w.EvictedIncarnation > 0 && call.Incarnation <= w.EvictedIncarnation
	}
	return covers(wm, call, wm.EndedSequence)
}

// covers reports whether a call's incarnation is older than the watermark's, or is the
// same and the call's sequence is not above the bound.
func covers(wm carobwatermark.Watermark, call carobcallid.ID, bound uint64) bool {
	if call.Incarnation != wm.Incarnation {
		return call.Incarnation < wm.Incarnation
	}
	return call.Sequence <= bound
}

// watermarkFor returns a copy of the watermark of a call's entry node; a new one if
// there is none, or if the call is of a newer incarnation.
func watermarkFor(w *carobworld.World, call carobcallid.ID) carobwatermark.Watermark {
	wm, ok := w.Watermarks.Get(call.Node)
	if !ok || wm.Incarnation < call.Incarnation {
		return carobwatermark.Watermark{Incarnation: call.Incarnation}
	}
	return wm
}

// putWatermark stores the watermark of a call's entry node. It does nothing if the
// watermark is of a newer incarnation than the call, since it then covers the call
// already. An evicted watermark raises the world's EvictedIncarnation and
// EvictedFencedIncarnation.
func putWatermark(w *carobworld.World, call carobcallid.ID, wm carobwatermark.Watermark) {
	if wm.Incarnation != call.Incarnation {
		return
	}
	if _, old, full := w.Watermarks.Put(call.Node, wm); full {
		w.EvictedIncarnation = max(w.EvictedIncarnation, old.Incarnation)
		if old.FencedSequence > 0 {
			w.EvictedFencedIncarnation = max(w.EvictedFencedIncarnation, old.Incarnation)
		}
	}
}
