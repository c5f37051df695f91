// Package carobrouting picks the target of each attempt.
package carobrouting

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
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

// pause is how long a call waits before a target is looked for again.
const pause = 20 * time.Millisecond

// System places the calls that wait for a target.
type System struct {
	// candidates is kept between calls to save its memory.
	candidates []candidate
	// empty has the services that were found to have no candidate in this tick,
	// so that thousands of calls that wait for the same service cost one look.
	empty map[carobservice.Service]struct{}
	// turn counts the attempts that were placed.
	turn uint64
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{empty: map[carobservice.Service]struct{}{}}
}

// Run learns from replies and places waiting calls.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, rp := range w.Inbox.Replies {
		learn(w, now, rp)
	}
	clear(s.empty)
	for _, cl := range w.Calls.All() {
		switch {
		case cl.Stage == carobstage.Waiting:
			s.place(w, now, cl)
		case cl.Extra:
			s.hedge(w, now, cl)
		}
	}
}

func (s *System) place(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	if cl.Rest != carobinstant.Never && !cl.Rest.Reached(now) {
		w.WakeAt(cl.Rest)
		return
	}
	if _, ok := s.empty[cl.Arrival.Service]; ok {
		cl.Starved = true
		return
	}
	s.collect(w, now, cl)
	cl.Starved = len(s.candidates) == 0
	if cl.Starved {
		s.empty[cl.Arrival.Service] = struct{}{}
		w.WakeAt(now.Add(pause))
		return
	}
	age(s.candidates)
	if cl.Profile.Near > 0 {
		s.candidates = nearest(s.candidates, float64(cl.Profile.Near))
	}
	chosen := policyOf(cl.Profile.Policy).pick(w.Random, s.candidates)
	s.send(w, now, cl, s.candidates[chosen])
}

// hedge places a second attempt beside the one under way, if a target that was
// not tried yet has a slot for it and the budget allows.
func (s *System) hedge(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	cl.Extra = false
	if cl.Stage != carobstage.Placed {
		return
	}
	s.collect(w, now, cl)
	if len(s.candidates) == 0 {
		return
	}
	age(s.candidates)
	cd := s.candidates[policyOf(cl.Profile.Policy).pick(w.Random, s.candidates)]
	if cd.flight < float64(cd.slots) && !tried(cl, cd.target) && w.BudgetOf(cl.Arrival.Service).Spend() {
		s.send(w, now, cl, cd)
	}
}

// collect lists the targets that may get the next attempt. Targets that have
// refused the call already come in only when no other is left, and those out of
// view only when no one in view is ready.
func (s *System) collect(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call) {
	s.candidates = s.candidates[:0]
	gp := w.Groups.Get(cl.Arrival.Service)
	if gp == nil {
		return
	}
	inView := view(w, gp, cl.Profile.Spread)
	for _, ids := range [][]carobtargetid.ID{inView, gp.Targets} {
		for _, again := range []bool{false, true} {
			for _, id := range ids {
				if tried(cl, id) == again {
					s.consider(w, now, cl, id)
				}
			}
			if len(s.candidates) > 0 {
				return
			}
		}
	}
}

func (s *System) consider(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, id carobtargetid.ID) {
	tg := w.Targets.Get(id)
	if tg == nil || tg.State != carobreadiness.Ready || w.Stopping && w.Owns(tg) {
		return
	}
	cd := candidate{target: id, node: tg.Node, slots: max(tg.Slots, 1), incarnation: w.Self.Incarnation, near: true}
	if !w.Owns(tg) {
		pr := w.Peers.Get(tg.Node)
		if pr == nil || pr.Member.Leaving {
			return
		}
		cd.peer, cd.incarnation = pr.Member.Peer, pr.Member.Incarnation
		cd.near = pr.Member.Centre == w.Self.Centre
		cd.distance = distance(cd.near, cl.Arrival.Size)
	}
	if cd.load = load(w, id); cd.load == nil || out(cd.load) {
		return
	}
	cd.load.Looked = now
	cd.heard = cd.load.At
	weigh(w, now, tg, &cd)
	s.candidates = append(s.candidates, cd)
}

// mostMoved is the longest body that is sent a second time rather than held up by a
// target that is slow.
const mostMoved = 8 * carobsize.KiB

// distance returns what the way to a target on another VM costs.
func distance(near bool, size carobsize.Size) float64 {
	const (
		hop    = 0.1
		centre = 1.25
		// perByte is for bodies, which only other data centres make dear.
		perByte = 1.0 / (32 << 10)
	)
	if near {
		return hop
	}
	return centre + perByte*float64(size)
}

// out reports whether a target is ejected, or on trial with a call under way.
func out(ld *carobload.Load) bool {
	return ld.Ejected != carobinstant.Never || ld.Trial && ld.Open > 0
}

// weigh estimates a target's load: of an own target it is known; of another it
// is that of the newest report, and the own attempts made since.
func weigh(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target, cd *candidate) {
	if gt := w.Gates.Get(tg.ID); gt != nil && w.Owns(tg) {
		cd.reported, cd.latency, cd.heard = float64(gt.Running+gt.Queued), gt.Latency, now
		return
	}
	rp := &cd.load.Report
	cd.reported = float64(rp.Running + rp.Queued + cd.load.Sent)
	cd.age = now.Sub(cd.load.At)
	cd.latency = rp.Latency.Duration()
}

func tried(cl *carobcall.Call, id carobtargetid.ID) bool {
	for i := range cl.Attempts {
		if cl.Attempts[i].Target == id {
			return true
		}
	}
	return false
}

func (s *System) send(w *carobworld.World, now carobinstant.Instant, cl *carobcall.Call, cd candidate) {
	cl.Stage, cl.Last = carobstage.Placed, carobkind.None
	cl.Attempts = append(cl.Attempts, carobattempt.Attempt{
		Target: cd.target, Node: cd.node, Incarnation: cd.incarnation, Sent: now,
	})
	s.turn++
	cd.load.Sent++
	cd.load.Open++
	cd.load.Turn = s.turn
	w.Decide(carobdecision.Decision{
		Part: "route", Text: "attempt sent", Request: cl.Arrival.Request, Call: cl.Arrival.Call,
		Attempt: len(cl.Attempts), Target: cd.target,
		Inputs: []carobinput.Input{
			{Name: "candidates", Value: float64(len(s.candidates))},
			{Name: "flight", Value: math.Round(cd.flight*10) / 10},
			{Name: "slots", Value: float64(cd.slots)},
			{Name: "distance", Value: cd.distance},
			carobinput.Age("reportms", now, cd.heard),
		},
	})
	wish := cl.Wish(now)
	wish.Movable = len(cl.Attempts) == 1 && len(s.candidates) > 1 && cl.Arrival.Size <= mostMoved
	w.Outbox.Sends = append(w.Outbox.Sends, carobsend.Send{
		Job:    carobjobid.ID{Call: cl.Arrival.Call, Attempt: len(cl.Attempts)},
		Target: cd.target, Peer: cd.peer, Incarnation: cd.incarnation, Patience: cl.Deadline.Sub(now),
		Once: cl.Profile.Once, Wish: wish,
	})
}
