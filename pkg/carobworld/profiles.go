package carobworld

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
)

// ProfileOf returns the profile in force for a service. It is nil if no target of the
// service is known, or if the profile that its targets name is not known or comes from a
// log that this node has yet to read. Profiles from the settings are in force at once.
func (w *World) ProfileOf(service carobservice.Service) *carobprofile.Profile {
	group := w.Groups.Get(service)
	if group == nil {
		return nil
	}
	revision := w.Profiles.Get(group.Profile)
	if revision == nil || w.AwaitingLog && revision.Offset != caroboffset.BeforeFirst {
		return nil
	}
	return &revision.Change.Profile
}

// TakeSnapshot returns a snapshot of the profiles in force.
func (w *World) TakeSnapshot() carobsnapshot.Snapshot {
	snapshot := carobsnapshot.Snapshot{LastOffset: w.ProfilesRead, Revisions: make([]carobrevision.Revision, 0, w.Profiles.Len())}
	for _, revision := range w.Profiles.All() {
		snapshot.Revisions = append(snapshot.Revisions, *revision)
	}
	return snapshot
}
