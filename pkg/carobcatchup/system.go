// Package carobcatchup passes profile records from node to node, so that a
// change that one node has read reaches all though the log fails after.
//
// Nodes say in their probes how far they have read. Who has read less asks for
// the records that it misses, by offset, and gets them in order; none is left out.
package carobcatchup

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobfetch"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobsupply"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// patience is how long an answer may take before another node is asked.
const patience = 300 * time.Millisecond

// System asks other nodes for records and answers them.
type System struct {
	// until is when the question on its way counts as lost.
	until carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run answers those who miss records and asks for those that this node misses.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for i := range w.Inbox.Messages {
		ms := &w.Inbox.Messages[i]
		switch {
		case ms.Fetch != nil:
			answer(w, ms)
		case ms.Supply != nil:
			s.until = carobinstant.Never
			s.ask(w, now, ms, ms.Supply.Read)
		case ms.Probe != nil:
			s.ask(w, now, ms, ms.Probe.Read)
		}
	}
}

func (s *System) ask(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message, read caroboffset.Offset) {
	if read <= w.ProfilesRead {
		return
	}
	if s.until != carobinstant.Never && !s.until.Reached(now) {
		return
	}
	s.until = now.Add(patience)
	w.Tell(carobmessage.Message{To: ms.Back, Fetch: &carobfetch.Fetch{From: w.ProfilesRead + 1}})
}

func answer(w *carobworld.World, ms *carobmessage.Message) {
	if ms.Fetch.From > w.ProfilesRead {
		return
	}
	sp := &carobsupply.Supply{Read: w.ProfilesRead}
	for offset := ms.Fetch.From; offset <= w.ProfilesRead && len(sp.Records) < carobsupply.Most; offset++ {
		rc := w.Changes.Get(offset)
		if rc == nil {
			sp.Records, sp.Snapshot = nil, snapshot(w)
			break
		}
		sp.Records = append(sp.Records, *rc)
	}
	w.Tell(carobmessage.Message{To: ms.Back, Supply: sp})
}

func snapshot(w *carobworld.World) *carobsnapshot.Snapshot {
	sn := w.TakeSnapshot()
	return &sn
}
