package carobstandtarget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// sampler draws the service times of calls. The n-th random factor under a seed is
// always the same. Jumps of load have their own random numbers, so that they do not
// depend on the number of calls.
type sampler struct {
	mutex sync.Mutex
	// random is for service times, jumpRandom for jumps.
	random     *rand.Rand
	jumpRandom *rand.Rand
	// warmupStart is when the target last started to warm up.
	warmupStart carobinstant.Instant
	// jumpStart and jumpEnd bound the current or next jump of load; Never without jumps.
	jumpStart, jumpEnd carobinstant.Instant
}

func newSampler(seed uint64, now carobinstant.Instant) *sampler {
	const callStream, jumpStream = 1, 2
	return &sampler{
		random:      rand.New(rand.NewPCG(seed, callStream)), //nolint:gosec // times must repeat under a seed
		jumpRandom:  rand.New(rand.NewPCG(seed, jumpStream)), //nolint:gosec // times must repeat under a seed
		warmupStart: now,
	}
}

// restartWarmup makes the warm-up start again.
func (c *sampler) restartWarmup(now carobinstant.Instant) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.warmupStart = now
}

// sample returns the service time of a call that starts now.
func (c *sampler) sample(behaviour *carobbehaviour.Behaviour, now carobinstant.Instant) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	factor := c.shapeFactor(behaviour) * behaviour.Straggle
	if c.inJump(behaviour, now) {
		factor *= behaviour.Jump
	}
	if cold := behaviour.Cold.Duration(); cold > 0 && now.Sub(c.warmupStart) < cold {
		coldness := 1 - float64(now.Sub(c.warmupStart))/float64(cold)
		factor *= 1 + (behaviour.Chill-1)*coldness
	}
	return time.Duration(float64(behaviour.Latency) * factor)
}

// shapeFactor draws a random factor whose mean is 1; the Pareto distribution has that
// mean before it is bounded by maxFactor.
func (c *sampler) shapeFactor(behaviour *carobbehaviour.Behaviour) float64 {
	switch behaviour.Shape {
	case carobbehaviour.LogNormal:
		return math.Exp(c.random.NormFloat64()*behaviour.Sigma - behaviour.Sigma*behaviour.Sigma/2)
	case carobbehaviour.Pareto:
		const maxFactor = 100
		scale := (behaviour.Alpha - 1) / behaviour.Alpha
		return min(scale*math.Pow(1-c.random.Float64(), -1/behaviour.Alpha), maxFactor)
	default:
		return 1
	}
}

// inJump reports whether a jump of load by a noisy neighbour is in progress. It draws
// the next jump if the last one has ended.
func (c *sampler) inJump(behaviour *carobbehaviour.Behaviour, now carobinstant.Instant) bool {
	if behaviour.Gap <= 0 {
		c.jumpStart, c.jumpEnd = carobinstant.Never, carobinstant.Never
		return false
	}
	if c.jumpEnd == carobinstant.Never {
		c.jumpEnd = now
	}
	for c.jumpEnd <= now {
		c.jumpStart = c.jumpEnd.Add(time.Duration(c.jumpRandom.ExpFloat64() * float64(behaviour.Gap)))
		c.jumpEnd = c.jumpStart.Add(behaviour.Shortest.Duration() + time.Duration(c.jumpRandom.Float64()*float64(behaviour.Longest-behaviour.Shortest)))
	}
	return c.jumpStart <= now
}
