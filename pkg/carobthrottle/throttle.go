// Package carobthrottle caps the bytes that a part of the node sends over time.
package carobthrottle

import (
	"github.com/carobknot/carobknot/pkg/carobbucket"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Config is how a throttle is made.
type Config struct {
	// Rate is what may be sent over time; Burst, at once.
	Rate  carobrate.Rate
	Burst carobsize.Size
}

// Throttle lets no more than Burst and Rate over the span pass in any span of
// time, but for one amount larger than Burst.
type Throttle struct {
	config Config
	bucket carobbucket.Bucket
}

// NewThrottle returns a throttle of which nothing was spent yet.
func NewThrottle(c Config) *Throttle {
	return &Throttle{config: c}
}

// Spend takes an amount and reports true, unless too much was spent before.
func (t *Throttle) Spend(now carobinstant.Instant, amount int) bool {
	t.bucket.Fill(now, float64(t.config.Rate), float64(t.config.Burst))
	return t.bucket.Overdraw(float64(amount))
}
