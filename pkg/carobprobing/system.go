// Package carobprobing asks for reports of load where those that ride on answers
// are too old, within the budget of measuring.
package carobprobing

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobbucket"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpoll"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Names of the buckets in the world's table.
const (
	// Bytes is the bytes sent for measuring.
	Bytes carobword.Word = "bytes"
	// Time is the seconds of processor time.
	Time carobword.Word = "time"
)

// A message costs more than its parts that vary: the frames, headers and tags
// of a request, and of the other end's answer to it. Both prices are safely too
// high, so that what is really spent stays below the cap.
const (
	fixedBytes  = 400
	messageTime = 300 * time.Microsecond
	// used is how long a target counts as in use after a call was placed among
	// its peers.
	used = time.Second
	// period is how often reports are looked through while targets are in use.
	period = 50 * time.Millisecond
	// patience is how long an answer is waited for before it is asked for again.
	patience = time.Second
	// forget is the time after which the latency of a target without calls counts
	// for less by a factor of e.
	forget = 1500 * time.Millisecond
)

// System sends probes and answers them. A probe or an answer that the budget
// does not allow is not sent later either: it would only be out of date.
type System struct {
	// due is when reports are looked through next.
	due carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run answers probes, takes in reports and sends a probe if one is useful.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		switch {
		case ms.Poll != nil:
			answer(w, now, ms)
		case ms.Report != nil:
			hear(w, now, ms.Report)
		}
	}
	if s.due != carobinstant.Never && !s.due.Reached(now) {
		w.WakeAt(s.due)
		return
	}
	s.due = carobinstant.Never
	if s.look(w, now) {
		s.due = now.Add(period)
		w.WakeAt(s.due)
	}
}

// answer tells the load of an own target.
func answer(w *carobworld.World, now carobinstant.Instant, ms carobmessage.Message) {
	tg, gt := w.Targets.Get(ms.Poll.Target), w.Gates.Get(ms.Poll.Target)
	if tg == nil || gt == nil || !w.Owns(tg) || !pay(w, now, tg.ID) {
		return
	}
	w.Tell(carobmessage.Message{To: ms.Back, Report: &carobreport.Report{
		Target: tg.ID, Running: gt.Running, Queued: gt.Queued, Slots: max(gt.Limit, 1),
		Latency: carobspan.Span(latency(gt, now)),
	}})
}

// latency returns a target's latency, less the older it is: a target without
// calls would otherwise keep a bad name for good.
func latency(gt *carobgate.Gate, now carobinstant.Instant) time.Duration {
	if gt.Running > 0 || gt.Learned == carobinstant.Never {
		return gt.Latency
	}
	return time.Duration(float64(gt.Latency) * math.Exp(-float64(now.Sub(gt.Learned))/float64(forget)))
}

func hear(w *carobworld.World, now carobinstant.Instant, rp *carobreport.Report) {
	if ld := w.Loads.Get(rp.Target); ld != nil {
		ld.Report, ld.At, ld.Sent = *rp, now, 0
	}
}

// look probes the target in use whose report is the oldest, if it is too old.
// It reports whether any target is in use.
func (s *System) look(w *carobworld.World, now carobinstant.Instant) bool {
	var oldest carobtargetid.ID
	var chosen *carobload.Load
	inUse := false
	for id, ld := range w.Loads.All() {
		if ld.Looked == carobinstant.Never || now.Sub(ld.Looked) > used {
			continue
		}
		inUse = true
		if stale(w, now, id, ld) && (chosen == nil || ld.At < chosen.At) {
			oldest, chosen = id, ld
		}
	}
	if chosen != nil {
		probe(w, now, oldest, chosen)
	}
	return inUse
}

// stale reports whether a target's report is older than the profile allows and
// no answer is under way.
func stale(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, ld *carobload.Load) bool {
	pf := w.ProfileOf(id.Service)
	if pf == nil || pf.Measure <= 0 || now.Sub(ld.At) < pf.Measure.Duration() {
		return false
	}
	return ld.Asked == carobinstant.Never || now.Sub(ld.Asked) > patience || ld.At > ld.Asked
}

func probe(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, ld *carobload.Load) {
	tg := w.Targets.Get(id)
	if tg == nil || w.Owns(tg) {
		return
	}
	pr := w.Peers.Get(tg.Node)
	if pr == nil || !pay(w, now, id) {
		return
	}
	ld.Asked = now
	w.Tell(carobmessage.Message{To: pr.Member.Peer, Poll: &carobpoll.Poll{Target: id}})
}

// pay takes the price of one message out of both buckets, or out of none.
func pay(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID) bool {
	bytes, seconds := bucket(w, Bytes), bucket(w, Time)
	if bytes == nil || seconds == nil {
		return false
	}
	price := Price(w, id)
	fill(bytes, now, float64(w.Measure.Rate), price)
	fill(seconds, now, float64(w.Measure.Share), messageTime.Seconds())
	if bytes.Tokens < price || seconds.Tokens < messageTime.Seconds() {
		bytes.Denied++
		return false
	}
	return bytes.Spend(price) && seconds.Spend(messageTime.Seconds())
}

// fill fills a bucket that saves up one message. What it saves is taken off the
// rate, so that no second sends more than the rate; a rate below two messages a
// second is halved instead, which caps every longer time.
func fill(bk *carobbucket.Bucket, now carobinstant.Instant, rate, price float64) {
	if rate < price {
		return
	}
	bk.Fill(now, max(rate-price, rate/2), price)
}

// Price returns the bytes that a probe of a target or its answer counts for.
func Price(w *carobworld.World, id carobtargetid.ID) float64 {
	return float64(fixedBytes + len(w.Self.Node) + len(w.Self.Peer) + len(id.Service) + len(id.Name))
}

func bucket(w *carobworld.World, name carobword.Word) *carobbucket.Bucket {
	if bk := w.Buckets.Get(name); bk != nil {
		return bk
	}
	return w.Buckets.Put(name, carobbucket.Bucket{})
}
