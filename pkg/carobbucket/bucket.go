// Package carobbucket is a token bucket, which caps what is spent over time.
package carobbucket

import "github.com/carobknot/carobknot/pkg/carobinstant"

// Bucket holds tokens. An empty one is ready to be filled.
type Bucket struct {
	// Tokens is what may be spent now. Only Overdraw takes it below 0.
	Tokens float64
	// Filled is as of when the bucket was last filled by time.
	Filled carobinstant.Instant
	// Spent is what was taken out since the start, Denied how often too little
	// was in.
	Spent  float64
	Denied uint64
}

// Earn adds tokens, up to the most that are saved.
func (b *Bucket) Earn(tokens, most float64) {
	b.Tokens = min(most, b.Tokens+tokens)
}

// Fill adds the tokens of the time since it was last filled. The first time it
// fills the bucket to the brim.
func (b *Bucket) Fill(now carobinstant.Instant, rate, most float64) {
	if b.Filled == carobinstant.Never {
		b.Tokens = most
	} else {
		b.Earn(now.Sub(b.Filled).Seconds()*rate, most)
	}
	b.Filled = now
}

// Spend takes tokens out and reports whether there were enough.
func (b *Bucket) Spend(tokens float64) bool {
	if b.Tokens < tokens {
		b.Denied++
		return false
	}
	b.Tokens -= tokens
	b.Spent += tokens
	return true
}

// Overdraw takes tokens out, even more than there are, unless the bucket is
// empty, and reports whether it did. So an amount larger than the bucket is
// spent too, and waited for afterwards.
func (b *Bucket) Overdraw(tokens float64) bool {
	if b.Tokens <= 0 {
		b.Denied++
		return false
	}
	b.Tokens -= tokens
	b.Spent += tokens
	return true
}
