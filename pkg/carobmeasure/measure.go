// Package carobmeasure holds the budget for the work of measuring.
package carobmeasure

import (
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Measure is what operators let a node spend on measuring load and latency.
// Both are hard caps.
type Measure struct {
	// Rate is the most bytes a second that measuring sends.
	Rate carobrate.Rate `json:"rate"`
	// Share is the most of one processor core that measuring uses.
	Share carobshare.Share `json:"share"`
}

// NewMeasure returns the defaults.
func NewMeasure() Measure {
	return Measure{Rate: carobrate.Rate(2 * carobsize.KiB), Share: 0.01}
}
