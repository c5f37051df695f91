package carobadmission

import (
	"cmp"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// byDeadline starts the job first that is due first. It is a baseline for measurements.
type byDeadline struct{}

func (byDeadline) compare(_ *carobworld.World, _ carobinstant.Instant, a, b *carobjob.Job) int {
	return cmp.Or(cmp.Compare(dueAt(a), dueAt(b)), cmp.Compare(a.ArrivedAt, b.ArrivedAt))
}

func (byDeadline) mayWait(*carobworld.World, carobinstant.Instant, *carobadmissionstate.AdmissionState, *carobjob.Job) bool {
	return true
}
