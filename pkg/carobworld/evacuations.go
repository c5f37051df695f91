package carobworld

import (
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtarget"
)

// IsEvacuated reports whether no call is to be sent to targets of a data centre.
func (w *World) IsEvacuated(centre carobcentre.Centre) bool {
	row := w.Evacuations.Get(centre)
	return row != nil && row.Active
}

// IsTargetEvacuated reports whether no call is to be sent to a target because its data centre is
// evacuated.
func (w *World) IsTargetEvacuated(target *carobtarget.Target) bool {
	if w.Evacuations.Len() == 0 {
		return false
	}
	if w.Owns(target) {
		return w.IsEvacuated(w.Self.Centre)
	}
	peer := w.Peers.Get(target.Node)
	return peer != nil && w.IsEvacuated(peer.Member.Centre)
}

// CountInUse returns the number of targets of a group that are not evacuated.
func (w *World) CountInUse(group *carobgroup.Group) int {
	count := len(group.Targets)
	if w.ActiveEvacuations() == 0 {
		return count
	}
	for _, id := range group.Targets {
		if target := w.Targets.Get(id); target != nil && w.IsTargetEvacuated(target) {
			count--
		}
	}
	return count
}

// IsServiceEvacuated reports whether a service has targets in data centres that are evacuated,
// and no others except targets that are leaving.
func (w *World) IsServiceEvacuated(service carobservice.Service) bool {
	group := w.Groups.Get(service)
	if group == nil || w.ActiveEvacuations() == 0 {
		return false
	}
	evacuated := false
	for _, id := range group.Targets {
		target := w.Targets.Get(id)
		switch {
		case target == nil:
		case w.IsTargetEvacuated(target):
			evacuated = true
		case target.Readiness != carobreadiness.Leaving:
			return false
		}
	}
	return evacuated
}

// ActiveEvacuations returns the number of data centres that are evacuated.
func (w *World) ActiveEvacuations() int {
	count := 0
	for _, row := range w.Evacuations.All() {
		if row.Active {
			count++
		}
	}
	return count
}
