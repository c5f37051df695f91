package carobadmission

import (
	"cmp"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// byArrival starts jobs in the order of their arrival. It is a baseline for measurements.
type byArrival struct{}

func (byArrival) compare(_ *carobworld.World, _ carobinstant.Instant, a, b *carobjob.Job) int {
	return cmp.Compare(a.ArrivedAt, b.ArrivedAt)
}

func (byArrival) mayWait(*carobworld.World, carobinstant.Instant, *carobadmissionstate.AdmissionState, *carobjob.Job) bool {
	return true
}
