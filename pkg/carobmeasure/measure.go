// Package carobmeasure holds the budget for measuring load and latency.
package carobmeasure

import (
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Measure limits what a node may spend on measuring. All limits are hard caps.
type Measure struct {
	// Rate is the maximum of bytes per second sent for measuring.
	Rate carobrate.Rate `json:"rate"`
	// Share is the maximum share of one processor core used for measuring.
	Share carobshare.Share `json:"share"`
	// Checks is the maximum of health checks per second for each own target
	// that reports its VM's slowness; 0 sends none.
	Checks int `json:"checks"`
}

// NewMeasure returns the default budget.
func NewMeasure() Measure {
	return Measure{Rate: carobrate.Rate(2 * carobsize.KiB), Share: 0.01}
}
