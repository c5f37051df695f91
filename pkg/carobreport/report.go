// Package carobreport holds the load report that a node sends for its target.
package carobreport

import (
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Report is the load of a target as its node measured it when the report was
// made. It is attached to every answer and refusal.
type Report struct {
	Target carobtargetid.ID `json:"target"`
	// Running is the number of calls that run on the target, at least 0.
	Running int `json:"running"`
	// Queued is the number of calls that wait for a slot, at least 0.
	Queued int `json:"queued"`
	// Slots is the number of calls that may run now, at least 1.
	Slots int `json:"slots"`
	// Latency is the estimated time that the target needs for a call.
	Latency carobduration.Duration `json:"latency"`
	// RateLimit is the number of calls a second that the target takes from all nodes
	// together; 0 if there is no limit.
	RateLimit carobcallrate.CallRate `json:"rate,omitempty"`
	// ColdLimit is the limit that applies because the target counts as cold, for the metrics
	// of its own node; 0 if there is none.
	ColdLimit carobcallrate.CallRate `json:"-"`
}
