// Package carobtokenbucket is a token bucket, which limits what is spent over time.
package carobtokenbucket

import "github.com/carobknot/carobknot/pkg/carobinstant"

// TokenBucket holds tokens. The zero value holds none until it is filled.
type TokenBucket struct {
	// Tokens is what may be spent now. It is negative only after Overdraw.
	Tokens float64
	// FilledAt is when Fill last added tokens; Never before the first time.
	FilledAt carobinstant.Instant
	// Spent is the sum of all tokens spent, and Denied the number of requests
	// that were denied for lack of tokens.
	Spent  float64
	Denied uint64
}

// Add adds tokens, up to the capacity.
func (b *TokenBucket) Add(tokens, capacity float64) {
	b.Tokens = min(capacity, b.Tokens+tokens)
}

// Fill adds the tokens for the time since the last call at the rate per second,
// up to the capacity. The first call fills the bucket to its capacity.
func (b *TokenBucket) Fill(now carobinstant.Instant, rate, capacity float64) {
	if b.FilledAt == carobinstant.Never {
		b.Tokens = capacity
	} else {
		b.Add(now.Sub(b.FilledAt).Seconds()*rate, capacity)
	}
	b.FilledAt = now
}

// Take removes tokens and reports true, or removes none and reports false if
// there are too few.
func (b *TokenBucket) Take(tokens float64) bool {
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
func (b *TokenBucket) Overdraw(tokens float64) bool {
	if b.Tokens <= 0 {
		b.Denied++
		return false
	}
	b.Tokens -= tokens
	b.Spent += tokens
	return true
}
