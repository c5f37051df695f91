// Package carobshedding decides which connections yield when the memory that connections
// may hold is short.
package carobshedding

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobconnection"
	"github.com/carobknot/carobknot/pkg/carobconnectionid"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Config holds the parameters of a Shedding.
type Config struct {
	// StallTimeout is how long a client may make no progress with its request while
	// memory is short.
	StallTimeout time.Duration
	// UnreadTimeout is how long a client may accept no bytes of a response while memory is
	// short.
	UnreadTimeout time.Duration
	// WaitTimeout is how long a connection waits for memory before its request is refused.
	WaitTimeout time.Duration
	// ProgressSize is how many bytes of a request count as progress. It keeps a client that
	// sends single bytes from holding memory that others need.
	ProgressSize carobsize.Size
}

// Shedding decides which connections are closed or refused. It holds no state.
type Shedding struct {
	config Config
}

// NewShedding returns a Shedding.
func NewShedding(c Config) *Shedding {
	return &Shedding{config: c}
}

// Receive records that bytes of the request of a connection have arrived.
func (s *Shedding) Receive(now carobinstant.Instant, row *carobconnection.Connection, size carobsize.Size) {
	row.Received += size
	if row.Received >= s.config.ProgressSize {
		row.Received, row.ProgressAt = 0, now
	}
}

// Closed returns the connections to close so that at least needed bytes become free, or
// all that may be closed if those are too few. First come connections whose clients make no
// progress, those without progress for longest first, and then idle ones, those idle for
// longest first. Idle ones do not yield before others have waited for Config.StallTimeout,
// since only then is it known who stalls, nor while they are that young, since a request
// may be on its way. A connection with a call under way, one whose client makes progress and one
// that waits for memory are never closed.
func (s *Shedding) Closed(now carobinstant.Instant, rows []carobconnection.Connection, needed carobsize.Size) []carobconnectionid.ID {
	var stalled, idle []carobconnection.Connection
	idleYield := s.idleYield(now, rows)
	for i := range rows {
		row := &rows[i]
		switch {
		case row.Pending > 0 || row.WaitingSince != carobinstant.Never:
		case row.Unsent > 0:
			if row.BlockedSince != carobinstant.Never && now.Sub(row.BlockedSince) >= s.config.UnreadTimeout {
				stalled = append(stalled, *row)
			}
		case !row.Receiving:
			if idleYield && now.Sub(row.BeganAt) >= s.config.StallTimeout {
				idle = append(idle, *row)
			}
		case now.Sub(row.ProgressAt) >= s.config.StallTimeout:
			stalled = append(stalled, *row)
		}
	}
	slices.SortFunc(stalled, func(a, b carobconnection.Connection) int { return cmp.Compare(stalledSince(&a), stalledSince(&b)) })
	slices.SortFunc(idle, func(a, b carobconnection.Connection) int { return cmp.Compare(a.BeganAt, b.BeganAt) })
	return take(append(stalled, idle...), needed)
}

// idleYield reports whether idle connections yield: a connection has waited for
// Config.StallTimeout, or none waits and a new one needs room.
func (s *Shedding) idleYield(now carobinstant.Instant, rows []carobconnection.Connection) bool {
	waiting := false
	for i := range rows {
		if since := rows[i].WaitingSince; since != carobinstant.Never {
			waiting = true
			if now.Sub(since) >= s.config.StallTimeout {
				return true
			}
		}
	}
	return !waiting
}

// stalledSince returns since when the client of a connection makes no progress.
func stalledSince(row *carobconnection.Connection) carobinstant.Instant {
	if row.Unsent > 0 {
		return row.BlockedSince
	}
	return row.ProgressAt
}

// Refused returns the connections whose requests are refused because they have waited for
// memory for longer than Config.WaitTimeout. Those whose requests began last come first,
// and only as many as the one that began first needs, so that not all are refused at once
// when each holds what another needs.
func (s *Shedding) Refused(now carobinstant.Instant, rows []carobconnection.Connection) []carobconnectionid.ID {
	var overdue []carobconnection.Connection
	for i := range rows {
		if since := rows[i].WaitingSince; since != carobinstant.Never && now.Sub(since) >= s.config.WaitTimeout {
			overdue = append(overdue, rows[i])
		}
	}
	if len(overdue) == 0 {
		return nil
	}
	slices.SortFunc(overdue, func(a, b carobconnection.Connection) int {
		return cmp.Or(cmp.Compare(b.BeganAt, a.BeganAt), cmp.Compare(b.ID, a.ID))
	})
	return take(overdue, overdue[len(overdue)-1].Needed)
}

// take returns the first of the rows that together hold the needed bytes, and at least one
// if there is any.
func take(rows []carobconnection.Connection, needed carobsize.Size) []carobconnectionid.ID {
	var taken []carobconnectionid.ID
	freed := carobsize.Size(0)
	for i := range rows {
		if freed >= needed && i > 0 {
			break
		}
		taken = append(taken, rows[i].ID)
		freed += rows[i].Held
	}
	return taken
}
