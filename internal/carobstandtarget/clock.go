package carobstandtarget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// clock draws how long calls take. The n-th draw under a seed is always the
// same; when jumps come depends on the seed alone, too.
type clock struct {
	mutex  sync.Mutex
	random *rand.Rand
	jumps  *rand.Rand
	// warm is when the target began to warm up.
	warm carobinstant.Instant
	// from and to bound the newest jump of load.
	from, to carobinstant.Instant
}

func newClock(seed uint64, now carobinstant.Instant) *clock {
	const calls, jumps = 1, 2
	return &clock{
		random: rand.New(rand.NewPCG(seed, calls)), //nolint:gosec // times must repeat under a seed
		jumps:  rand.New(rand.NewPCG(seed, jumps)), //nolint:gosec // times must repeat under a seed
		warm:   now,
	}
}

// chill begins the warming up anew.
func (c *clock) chill(now carobinstant.Instant) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.warm = now
}

// draw returns how long a call that starts now takes.
func (c *clock) draw(bh *carobbehaviour.Behaviour, now carobinstant.Instant) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	factor := c.shape(bh) * bh.Straggle
	if c.jumping(bh, now) {
		factor *= bh.Jump
	}
	if cold := bh.Cold.Duration(); cold > 0 && now.Sub(c.warm) < cold {
		left := 1 - float64(now.Sub(c.warm))/float64(cold)
		factor *= 1 + (bh.Chill-1)*left
	}
	return time.Duration(float64(bh.Latency) * factor)
}

// shape returns a random factor whose mean is 1.
func (c *clock) shape(bh *carobbehaviour.Behaviour) float64 {
	switch bh.Shape {
	case carobbehaviour.LogNormal:
		return math.Exp(c.random.NormFloat64()*bh.Sigma - bh.Sigma*bh.Sigma/2)
	case carobbehaviour.Pareto:
		const bound = 100
		least := (bh.Alpha - 1) / bh.Alpha
		return min(least*math.Pow(1-c.random.Float64(), -1/bh.Alpha), bound)
	default:
		return 1
	}
}

// jumping reports whether the load of a noisy neighbour is at its height.
func (c *clock) jumping(bh *carobbehaviour.Behaviour, now carobinstant.Instant) bool {
	if bh.Gap <= 0 {
		c.from, c.to = carobinstant.Never, carobinstant.Never
		return false
	}
	if c.to == carobinstant.Never {
		c.to = now
	}
	for c.to <= now {
		c.from = c.to.Add(time.Duration(c.jumps.ExpFloat64() * float64(bh.Gap)))
		c.to = c.from.Add(bh.Shortest.Duration() + time.Duration(c.jumps.Float64()*float64(bh.Longest-bh.Shortest)))
	}
	return c.from <= now
}
