// Package carobretrylimits defines the settings of the retry budgets.
package carobretrylimits

import "github.com/carobknot/carobknot/pkg/carobshare"

// RetryLimits limits the retries and hedges that reach the targets of a service,
// in total over all nodes.
type RetryLimits struct {
	// TokensPerCall is the number of tokens that each call adds to the retry budget.
	TokensPerCall carobshare.Share `json:"share"`
	// ClusterTokens is the largest number of tokens that all nodes together may hold.
	ClusterTokens float64 `json:"slack"`
	// NodeTokens is the largest number of tokens that one node may hold.
	NodeTokens float64 `json:"save"`
}

// NewRetryLimits returns the default settings.
func NewRetryLimits() RetryLimits {
	return RetryLimits{TokensPerCall: 0.045, ClusterTokens: 1000, NodeTokens: 3}
}

// usedShare is the share of a bound that the nodes use. They learn of each other with a
// delay, and a node that does not know all others takes too large a part of the budget.
const usedShare = 0.5

// Within returns the limits with tokens that keep all nodes together within a bound: so many
// retries for each call, and so many beside.
func (r RetryLimits) Within(retriesPerCall, retriesBeside float64) RetryLimits {
	r.TokensPerCall = carobshare.Share(min(1, usedShare*retriesPerCall))
	r.ClusterTokens = usedShare * retriesBeside
	return r
}

// MaxTokens returns the largest number of tokens that a node may hold in a
// cluster of this many nodes.
func (r RetryLimits) MaxTokens(nodes int) float64 {
	return min(r.NodeTokens, r.ClusterTokens/float64(max(nodes, 1)))
}
