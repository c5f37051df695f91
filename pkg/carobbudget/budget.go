// Package carobbudget bounds how many attempts a service's calls get beyond
// their first, so that retries cannot multiply the load of a service in trouble.
package carobbudget

const (
	// share is how many tokens a call brings: resends and hedges together stay
	// below this share of the calls.
	share = 0.045
	// burst is the most tokens that are saved up.
	burst = 3
)

// Budget is the token bucket of one service's resends and hedges. Moves after a
// refusal cost nothing, since a refused attempt took no slot; they are bounded by
// the profile's tries.
type Budget struct {
	// Tokens is at least 0 and at most burst.
	Tokens float64
	// Calls counts the calls that came.
	Calls uint64
	// Spent counts the resends and hedges, Denied those that the budget forbade.
	Spent, Denied uint64
	// Moves counts the attempts after a refusal.
	Moves uint64
}

// NewBudget returns a full bucket.
func NewBudget() Budget {
	return Budget{Tokens: burst}
}

// Earn takes in a call.
func (b *Budget) Earn() {
	b.Calls++
	b.Tokens = min(burst, b.Tokens+share)
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
