// Package carobcompaction appends snapshots of the profiles to the log, so that
// the profiles outlive the records of their changes.
//
// The log keeps records for a limited time, which it does not report. This system
// therefore appends a snapshot at a fixed period, which has to be shorter than
// that time, and earlier if many records follow the last snapshot. Any node may
// append it: each node first waits for a random delay, and appends nothing if it
// has read a newer snapshot by then.
package carobcompaction

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobretriedappend"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// period is the time between two snapshots. The retention of the log has to be
	// much longer, or profiles expire before a snapshot covers them.
	period = time.Hour
	// maxSinceSnapshot is the number of records since the last snapshot at which a
	// snapshot is due early, even while it is unknown how many the log keeps.
	maxSinceSnapshot = 64
	// normalDelay and urgentDelay are the upper bounds of the random delay before a
	// snapshot is appended, at the end of a period and when it is due early.
	normalDelay = time.Minute
	urgentDelay = 2 * time.Second
)

// System appends snapshots of the profiles to the log.
type System struct {
	// bounds holds the bounds of the stream that the newest read found.
	bounds carobstreambounds.StreamBounds
	// lastSnapshot is the offset of the newest snapshot that this node has read.
	lastSnapshot caroboffset.Offset
	// periodEnd is when a snapshot is due even if no record has been added; Never
	// before the first tick.
	periodEnd carobinstant.Instant
	// appendAt is when this node appends a snapshot, unless it reads a newer one
	// first; Never if no snapshot is due.
	appendAt carobinstant.Instant
}

// NewSystem returns a system that has read no snapshot yet.
func NewSystem() *System {
	return &System{lastSnapshot: caroboffset.BeforeFirst}
}

// Run appends a snapshot when one is due.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, bounds := range world.Inbox.StreamBounds {
		if bounds.Stream == carobstream.Profiles {
			s.bounds = bounds
		}
	}
	if s.periodEnd == carobinstant.Never || world.SnapshotOffset > s.lastSnapshot {
		s.lastSnapshot = world.SnapshotOffset
		s.periodEnd, s.appendAt = now.Add(period), carobinstant.Never
	}
	maxDelay, needed := s.needed(world, now)
	if !needed {
		s.appendAt = carobinstant.Never
		if !s.periodEnd.Reached(now) {
			world.WakeAt(s.periodEnd)
		}
		return
	}
	if s.appendAt == carobinstant.Never {
		s.appendAt = now.Add(time.Duration(world.Random.Int64N(int64(maxDelay))))
	}
	if s.appendAt.Reached(now) {
		appendSnapshot(world)
		s.appendAt = now.Add(maxDelay)
	}
	world.WakeAt(s.appendAt)
}

// needed reports whether a snapshot is due, and returns the upper bound of the
// random delay before it. None is due on a node without profiles, or with a gap
// before the records that the log keeps. One is due early if the log has dropped
// records and holds no snapshot that covers them, if the log has dropped records
// and more than half of those it keeps follow the last snapshot, or if at least
// maxSinceSnapshot records follow it.
func (s *System) needed(world *carobworld.World, now carobinstant.Instant) (time.Duration, bool) {
	if world.Profiles.Len() == 0 || world.ProfilesRead+1 < s.bounds.First {
		return 0, false
	}
	covered := world.SnapshotOffset >= s.bounds.First && world.SnapshotLastOffset+1 >= s.bounds.First
	if s.bounds.First > 0 && !covered {
		return urgentDelay, true
	}
	sinceSnapshot := world.ProfilesRead - max(world.SnapshotOffset, caroboffset.BeforeFirst)
	if s.bounds.First > 0 && sinceSnapshot > max(1, (s.bounds.Next-s.bounds.First)/2) || sinceSnapshot >= maxSinceSnapshot {
		return urgentDelay, true
	}
	return normalDelay, s.periodEnd.Reached(now)
}

// appendSnapshot appends a snapshot of the profiles in force to the log.
func appendSnapshot(world *carobworld.World) {
	data, err := json.Marshal(struct {
		Snapshot carobsnapshot.Snapshot `json:"snapshot"`
	}{world.TakeSnapshot()})
	if err != nil {
		return
	}
	world.Outbox.RetriedAppends = append(world.Outbox.RetriedAppends, carobretriedappend.RetriedAppend{Stream: carobstream.Profiles, Data: data})
}
