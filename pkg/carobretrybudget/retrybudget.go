// Package carobretrybudget limits the retries and hedges of a service's calls, so
// that retries cannot multiply the load of an overloaded or failing service.
package carobretrybudget

// RetryBudget is the token bucket for the retries and hedges of one service at
// this node. A retry after a refusal by a target's node costs no token, because
// the refused attempt did not reach a target; the profile's attempts limit such
// retries.
type RetryBudget struct {
	// Tokens is the number of tokens in the bucket, at least 0.
	Tokens float64
	// Calls counts the accepted calls of the service.
	Calls uint64
	// Spent counts the retries and hedges that cost a token, Denied those for which
	// there was none.
	Spent, Denied uint64
	// FreeRetries counts the retries that cost no token.
	FreeRetries uint64
}

// AddCall counts a call, and adds its share of a token to the bucket, up to limit
// tokens.
func (b *RetryBudget) AddCall(share, limit float64) {
	b.Calls++
	b.Tokens = min(limit, b.Tokens+share)
}

// TakeToken takes a token for a retry or hedge, and reports whether there was one.
func (b *RetryBudget) TakeToken() bool {
	if b.Tokens < 1 {
		b.Denied++
		return false
	}
	b.Tokens--
	b.Spent++
	return true
}
