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

// NewProbeLimits returns the default limits.
func NewProbeLimits() ProbeLimits {
	return ProbeLimits{BytesPerSecond: carobrate.Rate(2 * carobsize.KiB), CPUShare: 0.01}
}
