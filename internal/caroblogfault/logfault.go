// Package caroblogfault describes faults of the stand-in for the platform's log.
package caroblogfault

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// LogFault is the fault in force at a log, until the next one is set. The zero value
// means no fault.
type LogFault struct {
	// Outage refuses every request with status 503, without effect.
	Outage bool `json:"out"`
	// ReadOutage refuses reads with status 503; appends work.
	ReadOutage bool `json:"deaf"`
	// Delay is a delay before every request.
	Delay carobduration.Duration `json:"slow"`
	// LostAnswers is the number of following appends that take effect but are answered
	// with status 504. Each such append decrements it.
	LostAnswers int `json:"lose"`
	// DroppedAppends is the number of following appends, after those of LostAnswers,
	// that take no effect and are answered with status 504. Each such append decrements
	// it.
	DroppedAppends int `json:"drop"`
	// Retention is the number of records of each stream that are kept; older ones
	// expire at once. 0 means the log's own retention.
	Retention int `json:"keep"`
}

// Check returns an error of kind Invalid if a number is negative.
func (f LogFault) Check() error {
	if f.LostAnswers < 0 || f.DroppedAppends < 0 || f.Retention < 0 {
		return carobkind.New(carobkind.Invalid, "lose, drop and keep must not be negative")
	}
	return nil
}
