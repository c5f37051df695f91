// Package carobprofilehistory reads all profiles and their changes from the platform's
// log, for the command line.
package carobprofilehistory

import (
	"context"
	"time"

	"github.com/carobknot/carobknot/internal/caroblogpage"
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
	Read(ctx context.Context, stream carobstream.Stream, from caroboffset.Offset, wait time.Duration) (caroblogpage.LogPage, error)
}

// Config holds the parameters of a profile history.
type Config struct {
	// Log is the log that the profiles are read from.
	Log reader
}

// ProfileHistory holds the profiles and their changes as recorded in the log. It
// applies records with the same system as the nodes, so that both reach the same
// result.
type ProfileHistory struct {
	log   reader
	world *carobworld.World
	fold  *carobfold.System
	// next is the offset from which to continue reading; first is the lowest offset
	// that the log retains.
	next, first caroboffset.Offset
	// Results holds the results of the changes that were read, in the order of the
	// log.
	Results []carobchangeresult.ChangeResult
}

// NewProfileHistory returns a history without records. Read adds them.
func NewProfileHistory(c Config) *ProfileHistory {
	return &ProfileHistory{
		log: c.Log, fold: carobfold.NewSystem(),
		world: carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()}),
	}
}

// Read applies all records up to the present end of the log. It can be called again
// to apply later ones.
func (h *ProfileHistory) Read(ctx context.Context) error {
	for {
		page, err := h.log.Read(ctx, carobstream.Profiles, h.next, 0)
		if err != nil {
			return err
		}
		h.first, h.next = page.FirstOffset, max(h.next, page.NextOffset)
		if len(page.Records) == 0 {
			return nil
		}
		h.world.BeginTick(carobinbox.Inbox{Records: page.Records})
		h.fold.Run(h.world, 1)
		h.Results = append(h.Results, h.world.Outbox.ChangeResults...)
	}
}

// Complete reports whether all records that were read could be applied. If it is
// false, the first changes have expired from the log and it holds no snapshot that
// replaces them.
func (h *ProfileHistory) Complete() bool {
	return h.world.ProfilesRead+1 >= h.next
}

// NextOffset returns the offset after the last record that was read.
func (h *ProfileHistory) NextOffset() caroboffset.Offset {
	return h.next
}

// RevisionsInForce returns the revisions in force, one for each profile.
func (h *ProfileHistory) RevisionsInForce() []carobrevision.Revision {
	return h.world.TakeSnapshot().Revisions
}

// CurrentOffset returns the offset of the revision in force of a profile, or
// BeforeFirst if there is no such profile.
func (h *ProfileHistory) CurrentOffset(name carobname.Name) caroboffset.Offset {
	if revision := h.world.Profiles.Get(name); revision != nil {
		return revision.Offset
	}
	return caroboffset.BeforeFirst
}

// FindResult returns the result of the change with an ID. A change that was appended
// more than once was accepted if one of its records was. A change whose record has
// expired is found while its revision is in force.
func (h *ProfileHistory) FindResult(id string) (found carobchangeresult.ChangeResult, ok bool) {
	for _, result := range h.Results {
		if result.Change.ID == id && (result.Applied || !ok) {
			found, ok = result, true
		}
		if ok && found.Applied {
			return found, true
		}
	}
	for _, revision := range h.RevisionsInForce() {
		if revision.Change.ID == id {
			return carobchangeresult.ChangeResult{Change: revision.Change, Offset: revision.Offset, Applied: true}, true
		}
	}
	return found, ok
}
