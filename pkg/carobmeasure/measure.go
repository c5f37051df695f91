// Package carobmeasure holds the budget for the work of measuring.
package carobmeasure

import (
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Measure is what operators let a node spend on measuring load and latency.
// All are hard caps.
type Measure struct {
	// Rate is the most bytes a second that measuring sends.
	Rate carobrate.Rate `json:"rate"`
	// Share is the most of one processor core that measuring uses.
	Share carobshare.Share `json:"share"`
	// Checks is the most health checks a second of each own target that tells how
	// slow its VM is; 0 is none.
	Checks int `json:"checks"`
}

// NewMeasure returns the defaults.
func NewMeasure() Measure {
	return Measure{Rate: carobrate.Rate(2 * carobsize.KiB), Share: 0.01}
}
