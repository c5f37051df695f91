// Package carobfault says how the stand-in for the platform's log misbehaves.
package carobfault

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Fault is set on command and stays until the next command. The zero value is a
// log that works.
type Fault struct {
	// Out refuses every request with status 503: nothing takes effect.
	Out bool `json:"out"`
	// Deaf refuses reads with status 503, and appends go on.
	Deaf bool `json:"deaf"`
	// Slow is how much longer every request takes.
	Slow carobduration.Duration `json:"slow"`
	// Lose is how many appends take effect and are answered with status 504; it
	// counts down.
	Lose int `json:"lose"`
	// Drop is how many appends take no effect and are answered with status 504; it
	// counts down after Lose has.
	Drop int `json:"drop"`
	// Keep is how many records of each stream are kept; older ones expire at once.
	// 0 is what the log was started with.
	Keep int `json:"keep"`
}

// Check tells whether no field is negative.
func (f Fault) Check() error {
	if f.Lose < 0 || f.Drop < 0 || f.Keep < 0 {
		return carobkind.New(carobkind.Invalid, "lose, drop and keep must not be negative")
	}
	return nil
}
