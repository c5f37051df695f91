// Package carobbucket caps what is spent over time.
package carobbucket

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Config is how a bucket is made.
type Config struct {
	// Rate is what may be spent over time; Burst, at once.
	Rate  carobrate.Rate
	Burst carobsize.Size
}

// Bucket is a token bucket of bytes. In any span of time no more than Burst and
// Rate over the span are spent, but for one amount larger than Burst.
type Bucket struct {
	config Config
	// left is what may be spent at the instant at. It is below zero after an
	// amount that was larger than what was left.
	left float64
	at   carobinstant.Instant
}

// NewBucket returns a full bucket.
func NewBucket(c Config) *Bucket {
	return &Bucket{config: c, left: float64(c.Burst)}
}

// Spend takes an amount and reports true, unless the bucket is empty.
func (b *Bucket) Spend(now carobinstant.Instant, amount int) bool {
	if b.at != carobinstant.Never {
		b.left = min(float64(b.config.Burst), b.left+b.config.Rate.Over(now.Sub(b.at)))
	}
	b.at = now
	if b.left <= 0 {
		return false
	}
	b.left -= float64(amount)
	return true
}
