// Package carobbucket is a token bucket, which limits what is spent over time.
package carobbucket

import "github.com/carobknot/carobknot/pkg/carobinstant"

// Bucket holds tokens. The zero value holds none until it is filled.
type Bucket struct {
	// Tokens is what may be spent now. It is negative only after Overdraw.
	Tokens float64
	// Filled is when Fill last added tokens; Never before the first time.
	Filled carobinstant.Instant
	// Spent is the sum of all tokens spent, and Denied the number of requests
	// that were denied for lack of tokens.
	Spent  float64
	Denied uint64
}

// Earn adds tokens, up to the capacity.
func (b *Bucket) Earn(tokens, capacity float64) {
	b.Tokens = min(capacity, b.Tokens+tokens)
}

// Fill adds the tokens for the time since the last call at the rate per second,
// up to the capacity. The first call fills the bucket to its capacity.
func (b *Bucket) Fill(now carobinstant.Instant, rate, capacity float64) {
	if b.Filled == carobinstant.Never {
		b.Tokens = capacity
	} else {
		b.Earn(now.Sub(b.Filled).Seconds()*rate, capacity)
	}
	b.Filled = now
}

// Spend removes tokens and reports true, or removes none and reports false if
// there are too few.
func (b *Bucket) Spend(tokens float64) bool {
	if b.Tokens < tokens {
		b.Denied++
		return false
	}
	b.Tokens -= tokens
	b.Spent += tokens
	return true
}

// Overdraw removes tokens and reports true if the bucket holds any at all, even
// if too few. This allows amounts larger than the capacity; the debt then has
// to be refilled before the next one.
func (b *Bucket) Overdraw(tokens float64) bool {
	if b.Tokens <= 0 {
		b.Denied++
		return false
	}
	b.Tokens -= tokens
	b.Spent += tokens
	return true
}
