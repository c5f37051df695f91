// Package carobclaiming is the home side of idempotency keys: it appends claims
// to the streams of the shards that this node is home of, and answers them once
// they were read back.
//
// A claim is granted for one reason only: its batch was read back from the log,
// in order, as valid and first for its key. So it does not matter that two nodes
// may both take themselves for the home, that a home may wake from a pause with
// a batch in its hand, or that the answer to an append was lost: whatever lands
// in the log behind a takeover is void for everybody, its writer included.
package carobclaiming

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobclaims"
	"github.com/carobknot/carobknot/pkg/carobcommit"
	"github.com/carobknot/carobknot/pkg/carobcommitted"
	"github.com/carobknot/carobknot/pkg/carobfollow"
	"github.com/carobknot/carobknot/pkg/carobgrant"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Gap is the shortest time between two appends to one stream.
	Gap time.Duration
	// Lull is the same for settlements, which ride on claims if some come.
	Lull time.Duration
	// Patience is how long a batch may take to be read back before it is
	// appended again.
	Patience time.Duration
	// Pause is the time before an append is tried again that the log refused.
	Pause time.Duration
	// Keys and Kept bound the claims of each shard.
	Keys, Kept int
}

// most is how many claims and settlements go into one batch, and how many wait.
const (
	most    = 500
	waiting = 10_000
)

// System appends and answers claims.
type System struct {
	config Config
	// moved has what the homes were last worked out from.
	moved roster
}

// roster is what decides on the homes of shards.
type roster struct {
	// changes is one more than the changes of peers that were seen; 0 before
	// the first tick.
	changes  uint64
	stopping bool
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run takes in what was read, answers what was asked, and appends what waits.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	if rs := (roster{changes: w.PeerChanges + 1, stopping: w.Stopping}); rs != s.moved {
		s.moved = rs
		s.move(w, now)
	}
	readAll(w)
	for _, cd := range w.Inbox.Committed {
		s.committed(w, now, cd)
	}
	for _, ms := range w.Inbox.Messages {
		if ms.Claim != nil {
			claim(w, ms.Back, *ms.Claim)
		}
		if ms.Settlement != nil {
			settle(w, ms.Back, *ms.Settlement)
		}
	}
	for sh, hm := range w.Homes.All() {
		s.append(w, now, sh, hm)
	}
}

// readAll takes in what was read of the streams.
func readAll(w *carobworld.World) {
	for _, mk := range w.Inbox.Marks {
		if hm := homeOfStream(w, mk.Stream); hm != nil {
			hm.Next = max(hm.Next, mk.First)
			hm.Claimed.Forget(mk.First)
		}
	}
	for _, rc := range w.Inbox.Records {
		if hm := homeOfStream(w, rc.Stream); hm != nil {
			read(w, hm, rc)
		}
	}
	for _, mk := range w.Inbox.Marks {
		if hm := homeOfStream(w, mk.Stream); hm != nil && hm.Next >= mk.Next {
			hm.Read = true
		}
	}
}

// Home returns the node that is the home of a key's shard, and its address, as
// this node sees it.
func Home(w *carobworld.World, key carobkey.Key) (carobnodeid.ID, carobaddress.Address) {
	return homeOf(w, carobshard.Of(key))
}

// homeOf ranks the nodes that are alive. One that is leaving is the home only if
// all are, so that calls in flight get their keys until the last node has ended.
func homeOf(w *carobworld.World, sh carobshard.Shard) (carobnodeid.ID, carobaddress.Address) {
	best, address, leaving := w.Self.Node, w.Self.Peer, w.Stopping
	for id, pr := range w.Peers.All() {
		mb := &pr.Member
		if mb.Standing != carobstanding.Alive || mb.Leaving && !leaving {
			continue
		}
		if leaving && !mb.Leaving || sh.Weight(id) > sh.Weight(best) {
			best, address, leaving = id, mb.Peer, mb.Leaving
		}
	}
	return best, address
}

// move takes up the shards that this node has become the home of, and lets go of
// those that it is not any more.
func (s *System) move(w *carobworld.World, now carobinstant.Instant) {
	for sh := range carobshard.Shard(carobshard.Count) {
		node, _ := homeOf(w, sh)
		mine, hm := node == w.Self.Node, w.Homes.Get(sh)
		if mine == (hm != nil) {
			continue
		}
		w.Outbox.Follows = append(w.Outbox.Follows, carobfollow.Follow{Stream: sh.Stream(), On: mine})
		if !mine {
			w.Homes.Delete(sh)
			continue
		}
		w.Homes.Put(sh, carobhome.Home{
			Claimed: carobclaims.NewClaims(carobclaims.Config{Keys: s.config.Keys, Kept: s.config.Kept}),
			Since:   now,
			Back:    map[carobcallid.ID]carobaddress.Address{},
		})
	}
}

func homeOfStream(w *carobworld.World, stream carobstream.Stream) *carobhome.Home {
	for sh, hm := range w.Homes.All() {
		if sh.Stream() == stream {
			return hm
		}
	}
	return nil
}

// read folds a record. Records that are not the next one are left out: copies,
// and those of an earlier reading of the stream that come late.
func read(w *carobworld.World, hm *carobhome.Home, rc carobrecord.Record) {
	if rc.Offset != hm.Next {
		return
	}
	hm.Next++
	var bt carobclaimbatch.Batch
	if json.Unmarshal(rc.Data, &bt) != nil {
		return
	}
	hm.Claimed.Fold(rc.Offset, bt)
	if hm.Flight != nil && bt.Node == w.Self.Node &&
		bt.Incarnation == w.Self.Incarnation && bt.Number == hm.Flight.Number {
		landed(w, hm)
	}
}

// landed answers the claims and settlements of the batch that was read back.
func landed(w *carobworld.World, hm *carobhome.Home) {
	bt := hm.Flight
	hm.Flight = nil
	for _, cm := range bt.Claims {
		reply(w, hm, hm.Back[cm.Call], cm)
		delete(hm.Back, cm.Call)
	}
	for _, sm := range bt.Settlements {
		confirm(w, hm.Back[sm.Claim.Call], sm)
		delete(hm.Back, sm.Claim.Call)
	}
}

// committed takes in how an append went. That it took effect is told by reading
// alone; that it certainly did not, lets it be tried again sooner.
func (s *System) committed(w *carobworld.World, now carobinstant.Instant, cd carobcommitted.Committed) {
	hm := homeOfStream(w, cd.Stream)
	if hm != nil && hm.Flight != nil && hm.Flight.Number == cd.Number && cd.Kind == carobkind.LogOut {
		hm.Due = now.Add(s.config.Pause)
	}
}

// append sends the next batch to the log, or the one in flight once more.
func (s *System) append(w *carobworld.World, now carobinstant.Instant, sh carobshard.Shard, hm *carobhome.Home) {
	if hm.Flight == nil {
		if hm.Flight = s.next(w, now, hm); hm.Flight == nil {
			return
		}
		hm.Due = now
	}
	if !hm.Due.Reached(now) {
		w.WakeAt(hm.Due)
		return
	}
	data, err := json.Marshal(hm.Flight)
	if err != nil {
		return
	}
	hm.Sent, hm.Due = now, now.Add(s.config.Patience)
	w.WakeAt(hm.Due)
	w.Outbox.Commits = append(w.Outbox.Commits, carobcommit.Commit{
		Stream: sh.Stream(), Number: hm.Flight.Number, Data: data,
	})
}

// next returns the batch that is to be appended now, or nil. A takeover waits
// until the stream was read, or some time has passed: one that names an epoch
// from before that would be void, and so a wait of Patience for nothing.
func (s *System) next(w *carobworld.World, now carobinstant.Instant, hm *carobhome.Home) *carobclaimbatch.Batch {
	if due := hm.Since.Add(s.config.Lull); !hm.Read && !due.Reached(now) {
		w.WakeAt(due)
		return nil
	}
	owner := hm.Claimed.OwnedBy(w.Self.Node, w.Self.Incarnation)
	if owner && len(hm.Claims)+len(hm.Settlements) == 0 {
		return nil
	}
	if !s.mayAppend(w, now, hm, owner) {
		return nil
	}
	w.Commits++
	bt := &carobclaimbatch.Batch{
		Node: w.Self.Node, Incarnation: w.Self.Incarnation, Number: w.Commits, Epoch: hm.Claimed.Epoch(), Take: !owner,
	}
	if !owner {
		hm.Pause = s.nextPause(now, hm)
		hm.Taken = now
		return bt
	}
	bt.Claims, hm.Claims = split(hm.Claims)
	bt.Settlements, hm.Settlements = split(hm.Settlements)
	return bt
}

// nextPause returns the time between a takeover and the next. It doubles while
// another node takes the shard back each time, and is short again after a while:
// nodes that start together agree within milliseconds on who is the home, and
// keys must not wait long for the last of their takeovers.
func (s *System) nextPause(now carobinstant.Instant, hm *carobhome.Home) time.Duration {
	if hm.Taken == carobinstant.Never || now.Sub(hm.Taken) > 2*s.config.Patience {
		return s.config.Gap
	}
	return min(2*hm.Pause, s.config.Patience)
}

// mayAppend reports whether enough time has passed since the last append, so
// that claims that come fast share one; and, for a takeover, since the last of
// those, so that two nodes that both take themselves for the home do not fight
// over the shard all the time.
func (s *System) mayAppend(w *carobworld.World, now carobinstant.Instant, hm *carobhome.Home, owner bool) bool {
	last, gap := hm.Sent, s.config.Gap
	switch {
	case !owner:
		last, gap = hm.Taken, hm.Pause
	case len(hm.Claims) == 0:
		gap = s.config.Lull
	}
	due := last.Add(gap)
	if last == carobinstant.Never || due.Reached(now) {
		return true
	}
	w.WakeAt(due)
	return false
}

func split[T any](all []T) (batch, rest []T) {
	n := min(most, len(all))
	return all[:n:n], all[n:]
}

// claim takes in the claim of an entry node. While the shard is being taken
// over there is no answer; the entry asks again.
func claim(w *carobworld.World, back carobaddress.Address, cm carobclaim.Claim) {
	hm := w.Homes.Get(carobshard.Of(cm.Key))
	if hm == nil || !hm.Claimed.OwnedBy(w.Self.Node, w.Self.Incarnation) || cm.Key.Check() != nil {
		return
	}
	if hm.Claimed.Holding(cm.Key) != nil || !hm.Claimed.Room() {
		reply(w, hm, back, cm)
		return
	}
	if _, asked := hm.Back[cm.Call]; asked || len(hm.Back) >= waiting {
		return
	}
	hm.Back[cm.Call] = back
	hm.Claims = append(hm.Claims, cm)
}

// settle takes in the end of a call. It is confirmed once it stands in the log,
// or if the call does not hold the key, which leaves nothing to settle.
func settle(w *carobworld.World, back carobaddress.Address, sm carobsettlement.Settlement) {
	hm := w.Homes.Get(carobshard.Of(sm.Claim.Key))
	if hm == nil || !hm.Claimed.OwnedBy(w.Self.Node, w.Self.Incarnation) {
		return
	}
	if _, asked := hm.Back[sm.Claim.Call]; asked || len(hm.Back) >= waiting {
		return
	}
	if hd := hm.Claimed.Holding(sm.Claim.Key); hd == nil || hd.Call != sm.Claim.Call || hd.Ended {
		confirm(w, back, sm)
		return
	}
	hm.Back[sm.Claim.Call] = back
	hm.Settlements = append(hm.Settlements, sm)
}

// reply tells an entry what became of a claim, if anything is known.
func reply(w *carobworld.World, hm *carobhome.Home, back carobaddress.Address, cm carobclaim.Claim) {
	hd := hm.Claimed.Holding(cm.Key)
	rp := carobclaimreply.Reply{Call: cm.Call}
	switch {
	case hd == nil && hm.Claimed.Room(), hd != nil && hd.Call == cm.Call && hd.Ended:
		return
	case hd == nil:
		rp.Grant = carobgrant.Unclaimed
	case hd.Call == cm.Call:
		rp.Grant = carobgrant.Granted
	case !hd.Ended && !replaced(w, hd.Call):
		rp.Grant = carobgrant.Wait
	case hd.Ended && hd.Kind == carobkind.None:
		rp.Grant, rp.Kept = carobgrant.Repeated, hd.Kept
	default:
		rp.Grant = carobgrant.Unknown
	}
	w.Tell(carobmessage.Message{To: back, ClaimReply: &rp})
}

// replaced reports whether a call's entry node is known to have ended, so that
// nobody will tell the end of the call any more.
func replaced(w *carobworld.World, call carobcallid.ID) bool {
	if call.Node == w.Self.Node {
		return call.Incarnation < w.Self.Incarnation
	}
	pr := w.Peers.Get(call.Node)
	return pr != nil && call.Incarnation < pr.Member.Incarnation
}

func confirm(w *carobworld.World, back carobaddress.Address, sm carobsettlement.Settlement) {
	w.Tell(carobmessage.Message{To: back, Settled: &sm.Claim.Call})
}
