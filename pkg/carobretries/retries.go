// Package carobretries defines the settings of the retry budgets.
package carobretries

import "github.com/carobknot/carobknot/pkg/carobshare"

// Retries limits the retries and hedges that reach the targets of a service, in total
// over all nodes.
type Retries struct {
	// Share is the number of tokens that each call adds to the retry budget.
	Share carobshare.Share `json:"share"`
	// Slack is the largest number of tokens that all nodes together may hold.
	Slack float64 `json:"slack"`
	// Save is the largest number of tokens that one node may hold.
	Save float64 `json:"save"`
}

// NewRetries returns the default settings.
func NewRetries() Retries {
	return Retries{Share: 0.045, Slack: 1000, Save: 3}
}

// Most returns the largest number of tokens that a node may hold in a cluster of this
// many nodes.
func (r Retries) Most(nodes int) float64 {
	return min(r.Save, r.Slack/float64(max(nodes, 1)))
}
