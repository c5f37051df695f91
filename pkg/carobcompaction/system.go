// Package carobcompaction keeps a snapshot of the profiles in the log, so that
// they outlast the records that made them.
//
// The log keeps records for a limited time that this system is not told. So a
// snapshot is appended again after a fixed time, which has to be shorter, and
// earlier when many records have come since the last one. Any node may do it:
// each waits for a random while first, and does nothing if another was faster.
package carobcompaction

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmark"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// period is the time between two snapshots. The log's retention has to be
	// longer by a good margin.
	period = time.Hour
	// crowd is the number of records after which a snapshot is due earlier, while
	// it is not known how many the log keeps.
	crowd = 64
	// calm and urgent bound the random wait before a snapshot is appended.
	calm   = time.Minute
	urgent = 2 * time.Second
)

// System appends snapshots.
type System struct {
	// mark is what the newest read of the stream found.
	mark carobmark.Mark
	// seen is the newest snapshot that this node knows of.
	seen caroboffset.Offset
	// again is when a snapshot is due though no record came.
	again carobinstant.Instant
	// due is when this node appends one, unless another does before; or Never.
	due carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{seen: caroboffset.None}
}

// Run appends a snapshot when one is due.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, mk := range w.Inbox.Marks {
		if mk.Stream == carobstream.Profiles {
			s.mark = mk
		}
	}
	if s.again == carobinstant.Never || w.Snapshot > s.seen {
		s.seen = w.Snapshot
		s.again, s.due = now.Add(period), carobinstant.Never
	}
	wait, needed := s.needed(w, now)
	if !needed {
		s.due = carobinstant.Never
		if !s.again.Reached(now) {
			w.WakeAt(s.again)
		}
		return
	}
	if s.due == carobinstant.Never {
		s.due = now.Add(time.Duration(w.Random.Int64N(int64(wait))))
	}
	if s.due.Reached(now) {
		appendSnapshot(w)
		s.due = now.Add(wait)
	}
	w.WakeAt(s.due)
}

// needed says whether a snapshot is due, and how long to wait for others at most.
func (s *System) needed(w *carobworld.World, now carobinstant.Instant) (time.Duration, bool) {
	if w.Profiles.Len() == 0 || w.ProfilesRead+1 < s.mark.First {
		return 0, false
	}
	kept := w.Snapshot >= s.mark.First && w.SnapshotThrough+1 >= s.mark.First
	if s.mark.First > 0 && !kept {
		return urgent, true
	}
	since := w.ProfilesRead - max(w.Snapshot, caroboffset.None)
	if s.mark.First > 0 && since > max(1, (s.mark.Next-s.mark.First)/2) || since >= crowd {
		return urgent, true
	}
	return calm, s.again.Reached(now)
}

func appendSnapshot(w *carobworld.World) {
	data, err := json.Marshal(struct {
		Snapshot carobsnapshot.Snapshot `json:"snapshot"`
	}{w.TakeSnapshot()})
	if err != nil {
		return
	}
	w.Outbox.Appends = append(w.Outbox.Appends, carobappend.Append{Stream: carobstream.Profiles, Data: data})
}
