// Package carobloadgenerator generates an open-loop load of calls from a seed and
// checks every answer.
//
// In an open loop, calls are sent on schedule and do not wait for earlier answers,
// and latency is measured from the scheduled instant. In a closed loop, a slow answer
// would delay later calls, whose wait would not be measured (coordinated omission).
package carobloadgenerator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carobknot/carobknot/internal/carobpool"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Config holds the settings of a load.
type Config struct {
	// Name is the name of the load in its summary.
	Name string
	// Nodes are the addresses to which calls are sent; each call picks one at random.
	Nodes []carobaddress.Address
	// Direct is true if Nodes are addresses of targets. Their answers have no outcome
	// header; every answer counts as answered.
	Direct bool
	// Service is the value of the Host header.
	Service carobservice.Service
	// Rate is the mean number of calls a second; it is positive.
	Rate float64
	// MaxCalls and Duration end the load, whichever comes first; 0 is no limit.
	MaxCalls int
	Duration time.Duration
	// Warmup is the warm-up at the start, during which calls are sent but not counted.
	Warmup time.Duration
	// Seed seeds the random arrivals, nodes, keys and bodies.
	Seed uint64
	// RequestSize is the length of each request's body; AnswerSize that of each
	// answer's body, or 0 if targets return the request's body.
	RequestSize, AnswerSize carobsize.Size
	// KeyShare is the share of calls with an idempotency key.
	KeyShare carobshare.Share
	// Deadline is how long the caller of each call waits; it is positive.
	Deadline time.Duration
	// Timer is the clock and the timer of the load.
	Timer *carobtimer.Timer
}

// LoadGenerator sends one load.
type LoadGenerator struct {
	config  Config
	random  *rand.Rand
	pool    *carobpool.Pool
	summary *carobsummary.Summary
	// inProgress counts the calls without a result.
	inProgress sync.WaitGroup
}

const (
	dialTimeout = time.Second
	idleTimeout = 20 * time.Second
	// maxIdleConns is the limit of unused connections to one address.
	maxIdleConns = 4096
	// stallTimeout is how long the other end may accept or send no byte of a body.
	stallTimeout = 10 * time.Second
)

// NewLoadGenerator returns a load that has not started.
func NewLoadGenerator(c Config) *LoadGenerator {
	const stream = 3
	return &LoadGenerator{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, stream)), //nolint:gosec // loads must repeat under a seed
		pool:    carobpool.NewPool(carobpool.Config{Timer: c.Timer, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdleConns: maxIdleConns, StallTimeout: stallTimeout}),
		summary: carobsummary.NewSummary(carobsummary.Config{Name: c.Name, Deadline: c.Deadline}),
	}
}

// Run sends the load until a limit is reached or ctx ends, waits for the last
// answer and returns the summary. A load generator runs once.
func (g *LoadGenerator) Run(ctx context.Context) *carobsummary.Summary {
	defer g.pool.CloseIdle()
	start := g.config.Timer.Now()
	countFrom := start.Add(g.config.Warmup)
	next := start
	for sent := 0; g.continues(sent, next.Sub(start)); sent++ {
		next = next.Add(time.Duration(g.random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if !g.waitUntil(ctx, next) {
			break
		}
		call := g.newCall(next)
		call.counted = !next.Before(countFrom)
		g.inProgress.Go(func() { g.send(ctx, call) })
	}
	g.inProgress.Wait()
	g.summary.Close(next.Sub(countFrom))
	return g.summary
}

// continues reports whether the load continues after the given number of calls and
// time.
func (g *LoadGenerator) continues(sent int, elapsed time.Duration) bool {
	if g.config.MaxCalls > 0 && sent >= g.config.MaxCalls {
		return false
	}
	return g.config.Duration <= 0 || elapsed < g.config.Duration
}

// waitUntil waits until an instant. It returns false if the load is stopped.
func (g *LoadGenerator) waitUntil(ctx context.Context, at carobinstant.Instant) bool {
	for {
		remaining := at.Sub(g.config.Timer.Now())
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if g.config.Timer.Wait(ctx, remaining) != nil {
			return false
		}
	}
}

// newCall draws the next call, which should be sent at the given instant.
func (g *LoadGenerator) newCall(at carobinstant.Instant) call {
	return call{
		scheduledAt: at,
		seed:        g.random.Uint64() >> 1,
		node:        g.config.Nodes[g.random.IntN(len(g.config.Nodes))],
		keyed:       g.random.Float64() < float64(g.config.KeyShare),
	}
}
