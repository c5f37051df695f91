package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobgrant"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobunsettled"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// claimPause is the time between two questions for a key.
	claimPause = 50 * time.Millisecond
	// The time between two tellings of an end grows from the first to the last.
	settlePause, longestPause = 100 * time.Millisecond, 2 * time.Second
)

// claim asks the home of a call's key for it, until the deadline comes.
func claim(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if cl.Deadline.Reached(now) {
		conclude(w, now, cl, unclaimed(cl))
		return
	}
	w.WakeAt(cl.Deadline)
	if due := cl.Asked.Add(claimPause); cl.Asked != carobinstant.Never && !due.Reached(now) {
		w.WakeAt(due)
		return
	}
	w.WakeAt(now.Add(claimPause))
	cl.Asked = now
	_, home := carobclaiming.Home(w, cl.Key())
	w.Tell(carobmessage.Message{To: home, Claim: &carobclaim.Claim{Key: cl.Key(), Call: cl.Arrival.Call}})
}

// unclaimed returns the kind of a call that did not get its key in time.
func unclaimed(cl *carobcall.Call) carobkind.Kind {
	if cl.Contested {
		return carobkind.KeyUnknown
	}
	return carobkind.Unclaimed
}

// claimed takes in the answer of the home of a call's key.
func claimed(w *carobworld.World, now carobinstant.Instant, rp *carobclaimreply.Reply) {
	cl := w.Calls.Get(rp.Call)
	if cl == nil || cl.Stage != carobstage.Claiming {
		return
	}
	switch rp.Grant {
	case carobgrant.Granted:
		cl.Stage = carobstage.Waiting
	case carobgrant.Wait:
		cl.Contested = true
	case carobgrant.Repeated:
		retell(w, now, cl, rp.Kept)
	case carobgrant.Unclaimed:
		conclude(w, now, cl, carobkind.Unclaimed)
	default:
		conclude(w, now, cl, carobkind.KeyUnknown)
	}
}

// retell gives a caller the answer to an earlier call with its key.
func retell(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, kept *carobkept.Kept) {
	if kept == nil {
		conclude(w, now, cl, carobkind.Repeated)
		return
	}
	w.Outbox.Conclusions = append(w.Outbox.Conclusions, carobconclusion.Conclusion{Call: cl.Arrival.Call, Kept: kept})
	w.Calls.Delete(cl.Arrival.Call)
}

// unsettle notes the end of a call that may hold its key, until its home has it.
// When there is no room, the key stays held, and later calls with it do not run.
func unsettle(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, kind carobkind.Kind, kept *carobkept.Kept) {
	if cl.Key() == (carobkey.Key{}) || cl.Asked == carobinstant.Never {
		return
	}
	us := w.Unsettled.Put(cl.Arrival.Call, carobunsettled.Unsettled{
		Settlement: carobsettlement.Settlement{
			Claim: carobclaim.Claim{Key: cl.Key(), Call: cl.Arrival.Call}, Kind: kind, Kept: kept,
		},
		Due: now, Pause: settlePause,
	})
	if us != nil {
		resend(w, now, us)
	}
}

// resend tells the home of a key the end of its call, if that is due.
func resend(w *carobworld.World, now carobinstant.Instant, us *carobunsettled.Unsettled) {
	if !us.Due.Reached(now) {
		w.WakeAt(us.Due)
		return
	}
	us.Due = now.Add(us.Pause)
	us.Pause = min(2*us.Pause, longestPause)
	w.WakeAt(us.Due)
	_, home := carobclaiming.Home(w, us.Settlement.Claim.Key)
	w.Tell(carobmessage.Message{To: home, Settlement: &us.Settlement})
}
