// Package carobfault describes faults of the stand-in for the platform's log.
package carobfault

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Fault is the fault in force at a log, until the next one is set. The zero value means
// no fault.
type Fault struct {
	// Out refuses every request with status 503, without effect.
	Out bool `json:"out"`
	// Deaf refuses reads with status 503; appends work.
	Deaf bool `json:"deaf"`
	// Slow is a delay before every request.
	Slow carobduration.Duration `json:"slow"`
	// Lose is the number of following appends that take effect but are answered with
	// status 504. Each such append decrements it.
	Lose int `json:"lose"`
	// Drop is the number of following appends, after those of Lose, that take no effect
	// and are answered with status 504. Each such append decrements it.
	Drop int `json:"drop"`
	// Keep is the number of records of each stream that are kept; older ones expire at
	// once. 0 means the log's own retention.
	Keep int `json:"keep"`
}

// Check returns an error of kind Invalid if a number is negative.
func (f Fault) Check() error {
	if f.Lose < 0 || f.Drop < 0 || f.Keep < 0 {
		return carobkind.New(carobkind.Invalid, "lose, drop and keep must not be negative")
	}
	return nil
}
