// Package carobfinish holds the message that a job has ended.
package carobfinish

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobpressure"
)

// Finish tells a target's node how a job that it started, or still had in its
// queue, ended.
type Finish struct {
	Job carobjobid.ID
	// Kind is None if the target's whole answer was passed on.
	Kind carobkind.Kind
	// Status is the target's HTTP status; 0 if there was none.
	Status int
	// Pressure is the target's word of its load; nil if the answer brought none.
	Pressure *carobpressure.Pressure
}
