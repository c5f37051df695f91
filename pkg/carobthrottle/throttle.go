// Package carobthrottle limits the bytes that a part of the node sends over
// time.
package carobthrottle

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobtokenbucket"
)

// Config holds the settings of a throttle.
type Config struct {
	// Rate is the sustained limit, and Burst the amount that may be sent at
	// once.
	Rate  carobrate.Rate
	Burst carobsize.Size
}

// Throttle limits the amount that passes in any period to Burst, plus Rate over
// the period, plus the one amount that overdraws the bucket.
type Throttle struct {
	config Config
	bucket carobtokenbucket.TokenBucket
}

// NewThrottle returns a throttle with a full burst.
func NewThrottle(c Config) *Throttle {
	return &Throttle{config: c}
}

// Allow reports whether an amount may be sent at now, and deducts it. It
// refuses while earlier amounts have used up the limit.
func (t *Throttle) Allow(now carobinstant.Instant, amount int) bool {
	t.bucket.Fill(now, float64(t.config.Rate), float64(t.config.Burst))
	return t.bucket.Overdraw(float64(amount))
}
