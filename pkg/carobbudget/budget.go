// Package carobbudget bounds how many attempts a service's calls get beyond
// their first, so that retries cannot multiply the load of a service in trouble.
package carobbudget

// Budget is the token bucket of one service's resends and hedges. Moves after a
// refusal by a node cost nothing, since a refused attempt reached no target; they
// are bounded by the profile's tries.
type Budget struct {
	// Tokens is at least 0.
	Tokens float64
	// Calls counts the calls that came.
	Calls uint64
	// Spent counts the resends and hedges, Denied those that the budget forbade.
	Spent, Denied uint64
	// Moves counts the attempts after a refusal.
	Moves uint64
}

// Earn takes in a call, which brings a share of a token, up to the most that
// are saved.
func (b *Budget) Earn(share, most float64) {
	b.Calls++
	b.Tokens = min(most, b.Tokens+share)
}

// Spend reports whether one more resend or hedge may be made, and pays for it.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		b.Denied++
		return false
	}
	b.Tokens--
	b.Spent++
	return true
}
