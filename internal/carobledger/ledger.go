// Package carobledger reads all profiles and their changes from the platform's
// log, for the command line.
package carobledger

import (
	"context"
	"time"

	"github.com/carobknot/carobknot/internal/carobpage"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobfold"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// reader reads records of the log.
type reader interface {
	Read(cx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (carobpage.Page, error)
}

// Config is how a ledger is made.
type Config struct {
	Log reader
}

// Ledger is the profiles as the log has them. It uses the fold of the nodes.
type Ledger struct {
	log   reader
	world *carobworld.World
	fold  *carobfold.System
	// next is the offset to read on from; first is the first one that is kept.
	next, first caroboffset.Offset
	// History has what became of the changes that are kept, in their order.
	History []carobchangeresult.ChangeResult
}

// NewLedger returns a ledger that has read nothing.
func NewLedger(c Config) *Ledger {
	return &Ledger{
		log: c.Log, fold: carobfold.NewSystem(),
		world: carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}),
	}
}

// Read reads up to the present end of the log.
func (l *Ledger) Read(cx context.Context) error {
	for {
		pg, err := l.log.Read(cx, carobstream.Profiles, l.next, 0)
		if err != nil {
			return err
		}
		l.first, l.next = pg.First, max(l.next, pg.Next)
		if len(pg.Records) == 0 {
			return nil
		}
		l.world.BeginTick(carobinbox.Inbox{Records: pg.Records})
		l.fold.Run(l.world, 1)
		l.History = append(l.History, l.world.Outbox.ChangeResults...)
	}
}

// Whole reports whether all that was read is folded in. Otherwise the log keeps
// neither the first changes nor a snapshot that makes up for them.
func (l *Ledger) Whole() bool {
	return l.world.ProfilesRead+1 >= l.next
}

// Next returns the offset after the last record that was read.
func (l *Ledger) Next() caroboffset.Offset {
	return l.next
}

// InForce returns the profiles in force.
func (l *Ledger) InForce() []carobrevision.Revision {
	return l.world.TakeSnapshot().Revisions
}

// Of returns the offset of the profile in force under a name, or None.
func (l *Ledger) Of(name carobname.Name) caroboffset.Offset {
	if rv := l.world.Profiles.Get(name); rv != nil {
		return rv.Offset
	}
	return caroboffset.BeforeFirst
}

// Find returns what became of a change, by its ID. A change that was appended
// more than once won if one of its records did.
func (l *Ledger) Find(id string) (found carobchangeresult.ChangeResult, ok bool) {
	for _, cr := range l.History {
		if cr.Change.ID == id && (cr.Applied || !ok) {
			found, ok = cr, true
		}
		if ok && found.Applied {
			return found, true
		}
	}
	for _, rv := range l.InForce() {
		if rv.Change.ID == id {
			return carobchangeresult.ChangeResult{Change: rv.Change, Offset: rv.Offset, Applied: true}, true
		}
	}
	return found, ok
}
