package carobfaketarget

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
	// jumpStart and jumpEnd bound the current or next jump of load; Never without
	// jumps.
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
func (s *sampler) restartWarmup(now carobinstant.Instant) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.warmupStart = now
}

// sample returns the service time of a call that starts now.
func (s *sampler) sample(behaviour *carobbehaviour.Behaviour, now carobinstant.Instant) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := s.shapeFactor(behaviour) * behaviour.SlowFactor
	if s.inJump(behaviour, now) {
		factor *= behaviour.JumpFactor
	}
	if warmup := behaviour.Warmup.Duration(); warmup > 0 && now.Sub(s.warmupStart) < warmup {
		warmupLeft := 1 - float64(now.Sub(s.warmupStart))/float64(warmup)
		factor *= 1 + (behaviour.ColdFactor-1)*warmupLeft
	}
	return time.Duration(float64(behaviour.Latency) * factor)
}

// shapeFactor draws a random factor whose mean is 1; the Pareto distribution has that
// mean before it is bounded by maxFactor.
func (s *sampler) shapeFactor(behaviour *carobbehaviour.Behaviour) float64 {
	switch behaviour.Shape {
	case carobbehaviour.LogNormal:
		return math.Exp(s.random.NormFloat64()*behaviour.Sigma - behaviour.Sigma*behaviour.Sigma/2)
	case carobbehaviour.Pareto:
		const maxFactor = 100
		scale := (behaviour.Alpha - 1) / behaviour.Alpha
		return min(scale*math.Pow(1-s.random.Float64(), -1/behaviour.Alpha), maxFactor)
	default:
		return 1
	}
}

// inJump reports whether a jump of load by a noisy neighbour is in progress. It draws
// the next jump if the last one has ended.
func (s *sampler) inJump(behaviour *carobbehaviour.Behaviour, now carobinstant.Instant) bool {
	if behaviour.JumpInterval <= 0 {
		s.jumpStart, s.jumpEnd = carobinstant.Never, carobinstant.Never
		return false
	}
	if s.jumpEnd == carobinstant.Never {
		s.jumpEnd = now
	}
	for s.jumpEnd <= now {
		s.jumpStart = s.jumpEnd.Add(time.Duration(s.jumpRandom.ExpFloat64() * float64(behaviour.JumpInterval)))
		s.jumpEnd = s.jumpStart.Add(behaviour.MinJump.Duration() + time.Duration(s.jumpRandom.Float64()*float64(behaviour.MaxJump-behaviour.MinJump)))
	}
	return s.jumpStart <= now
}
