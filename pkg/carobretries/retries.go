// Package carobretries holds how much a service's calls may be sent again, all
// nodes together.
package carobretries

import "github.com/carobknot/carobknot/pkg/carobshare"

// Retries bounds the attempts beyond the first that reach targets.
type Retries struct {
	// Share is how many attempts each call brings.
	Share carobshare.Share `json:"share"`
	// Slack is how many attempts all nodes together may save up.
	Slack float64 `json:"slack"`
	// Save is the most attempts that one node saves up.
	Save float64 `json:"save"`
}

// NewRetries returns the defaults.
func NewRetries() Retries {
	return Retries{Share: 0.045, Slack: 1000, Save: 3}
}

// Most returns how many attempts one of so many nodes saves up.
func (r Retries) Most(nodes int) float64 {
	return min(r.Save, r.Slack/float64(max(nodes, 1)))
}
