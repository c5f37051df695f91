// Package carobprobelimits holds the limits on probing for load and latency.
package carobprobelimits

import (
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// ProbeLimits limits what a node may spend on probing. All limits are hard caps.
type ProbeLimits struct {
	// BytesPerSecond is the maximum of bytes per second sent for probing.
	BytesPerSecond carobrate.Rate `json:"rate"`
	// CPUShare is the maximum share of one processor core used for probing.
	CPUShare carobshare.Share `json:"share"`
	// ChecksPerSecond is the maximum of health checks per second for each own target
	// that reports its VM's slowness; 0 sends none.
	ChecksPerSecond int `json:"checks"`
}

// usedShare is the share of a bound on health checks that a node uses. The rest is for checks
// that identify a target.
const usedShare = 0.8

// Within returns the limits with a rate of health checks that keeps within a bound on the
// checks per second at a target.
func (p ProbeLimits) Within(checksPerSecond float64) ProbeLimits {
	p.ChecksPerSecond = int(usedShare * checksPerSecond)
	return p
}

// NewProbeLimits returns the default limits.
func NewProbeLimits() ProbeLimits {
	return ProbeLimits{BytesPerSecond: carobrate.Rate(2 * carobsize.KiB), CPUShare: 0.01}
}
