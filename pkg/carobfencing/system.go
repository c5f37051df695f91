// Package carobfencing answers fences: it tells what became of a job, and makes
// sure that a job of which it says so never runs.
//
// The node must remember which jobs it fenced (tombstones) and which ended, or a
// late arrival would start, and a job that ran would be said never to have run.
// Both memories are bounded. What they forget is replaced by a watermark for
// each entry node: up to it, arrivals are refused and fences get Unknown. Both
// answers are safe, and no clock decides when something may be forgotten.
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

// Run answers the fences that have come.
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		if fc := ms.Fence; fc != nil {
			w.Tell(carobmessage.Message{To: ms.Back, FenceReply: &carobfencereply.FenceReply{Job: fc.Job, State: Judge(w, *fc)}})
		}
	}
}

// Judge returns what became of a job. A job that has not started is refused,
// now or when it arrives.
func Judge(w *carobworld.World, fc carobfence.Fence) carobjobstate.JobState {
	if fc.Incarnation != w.Self.Incarnation {
		return carobjobstate.Unknown
	}
	if jb := w.Jobs.Get(fc.Job); jb != nil {
		if jb.Started != carobinstant.Never {
			return carobjobstate.Running
		}
		Withdraw(w, jb, carobkind.Withdrawn)
		return carobjobstate.Never
	}
	if _, ok := w.Ended.Get(fc.Job); ok {
		return carobjobstate.Done
	}
	if Fenced(w, fc.Job) {
		return carobjobstate.Never
	}
	if forgot(w, fc.Job.Call) {
		return carobjobstate.Unknown
	}
	bury(w, fc.Job)
	return carobjobstate.Never
}

// Withdraw takes a queued job out of its queue for good, and refuses it.
func Withdraw(w *carobworld.World, jb *carobjob.Job, kind carobkind.Kind) {
	gt := w.Gates.Get(jb.Offer.Target)
	gt.Queued--
	gt.Changed = true
	w.Outbox.Refusals = append(w.Outbox.Refusals, carobrefusal.Refusal{Job: jb.Offer.Job, Kind: kind})
	bury(w, jb.Offer.Job)
	w.Jobs.Delete(jb.Offer.Job)
}

// Fenced reports whether a job was promised never to run.
func Fenced(w *carobworld.World, job carobjobid.ID) bool {
	if _, ok := w.Tombstones.Get(job); ok {
		return true
	}
	wm, ok := w.Watermarks.Get(job.Call.Node)
	if !ok {
		return w.Barred > 0 && job.Call.Incarnation <= w.Barred
	}
	return covers(wm, job.Call, wm.Fenced)
}

// Remember notes that a started job has ended.
func Remember(w *carobworld.World, fn carobfinish.Finish) {
	if old, _, full := w.Ended.Put(fn.Job, fn); full {
		wm := raise(w, old.Call)
		wm.Ended = max(wm.Ended, old.Call.Sequence)
		lower(w, old.Call, wm)
	}
}

// bury makes sure that a job which has not started never will.
func bury(w *carobworld.World, job carobjobid.ID) {
	if old, _, full := w.Tombstones.Put(job, struct{}{}); full {
		wm := raise(w, old.Call)
		wm.Fenced = max(wm.Fenced, old.Call.Sequence)
		lower(w, old.Call, wm)
	}
}

// forgot reports whether a job of the call may have run though nothing is known
// of it any more.
func forgot(w *carobworld.World, call carobcallid.ID) bool {
	wm, ok := w.Watermarks.Get(call.Node)
	if !ok {
		return w.Forgotten > 0 && call.Incarnation <= w.Forgotten
	}
	return covers(wm, call, wm.Ended)
}

// covers reports whether a call is of an older incarnation than the watermark,
// or of the same one and not above a bound.
func covers(wm carobwatermark.Watermark, call carobcallid.ID, bound uint64) bool {
	if call.Incarnation != wm.Incarnation {
		return call.Incarnation < wm.Incarnation
	}
	return call.Sequence <= bound
}

// raise returns the watermark of a call's entry node, to be raised.
func raise(w *carobworld.World, call carobcallid.ID) carobwatermark.Watermark {
	wm, ok := w.Watermarks.Get(call.Node)
	if !ok || wm.Incarnation < call.Incarnation {
		return carobwatermark.Watermark{Incarnation: call.Incarnation}
	}
	return wm
}

// lower puts a raised watermark back. One that belongs to a newer incarnation
// covers the older ones already.
func lower(w *carobworld.World, call carobcallid.ID, wm carobwatermark.Watermark) {
	if wm.Incarnation != call.Incarnation {
		return
	}
	if _, old, full := w.Watermarks.Put(call.Node, wm); full {
		w.Forgotten = max(w.Forgotten, old.Incarnation)
		if old.Fenced > 0 {
			w.Barred = max(w.Barred, old.Incarnation)
		}
	}
}
