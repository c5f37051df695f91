// Package carobloader sends a seeded open load of calls and checks every answer.
//
// The load is open: when a call is sent does not depend on how earlier ones
// fare, and its latency counts from the instant it was meant to be sent. A slow
// answer can therefore not hide the calls that would have come meanwhile.
package carobloader

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

// Config is how a load is made.
type Config struct {
	// Name names the load in its summary.
	Name string
	// Nodes are the call addresses; each call picks one at random.
	Nodes []carobaddress.Address
	// Direct says that Nodes are targets, which tell no outcome.
	Direct  bool
	Service carobservice.Service
	// Rate is the mean number of calls a second; it is positive.
	Rate float64
	// Count and Duration end the load, whichever comes first; 0 is no bound.
	Count    int
	Duration time.Duration
	// Skip is how long at the beginning calls are sent but not counted.
	Skip time.Duration
	// Seed is what arrivals, nodes, keys and bodies follow from.
	Seed uint64
	// Size is the length of each body; Answer that of each answer, or 0 for the
	// body sent back.
	Size, Answer carobsize.Size
	// Keys is the share of calls with an idempotency key.
	Keys carobshare.Share
	// Deadline is how long callers wait; it is positive.
	Deadline time.Duration
	Timer    *carobtimer.Timer
}

// Loader sends one load.
type Loader struct {
	config  Config
	random  *rand.Rand
	pool    *carobpool.Pool
	summary *carobsummary.Summary
	// open has the calls that are under way.
	open sync.WaitGroup
}

const (
	dial = time.Second
	idle = 20 * time.Second
	kept = 4096
	// stall is how long a connection may take no byte of a body.
	stall = 10 * time.Second
)

// NewLoader returns a load that has not begun.
func NewLoader(c Config) *Loader {
	const stream = 3
	return &Loader{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, stream)), //nolint:gosec // loads must repeat under a seed
		pool:    carobpool.NewPool(carobpool.Config{Timer: c.Timer, Dial: dial, Idle: idle, Kept: kept, Stall: stall}),
		summary: carobsummary.NewSummary(carobsummary.Config{Name: c.Name, Deadline: c.Deadline}),
	}
}

// Run sends the load, waits for the last answer and returns the summary.
func (l *Loader) Run(cx context.Context) *carobsummary.Summary {
	defer l.pool.Close()
	start := l.config.Timer.Now()
	counted := start.Add(l.config.Skip)
	next := start
	for n := 0; l.more(n, next.Sub(start)); n++ {
		next = next.Add(time.Duration(l.random.ExpFloat64() / l.config.Rate * float64(time.Second)))
		if !l.reach(cx, next) {
			break
		}
		cl := l.draw(next)
		cl.counted = !next.Before(counted)
		l.open.Go(func() { l.send(cx, cl) })
	}
	l.open.Wait()
	l.summary.Close(next.Sub(counted))
	return l.summary
}

func (l *Loader) more(sent int, passed time.Duration) bool {
	if l.config.Count > 0 && sent >= l.config.Count {
		return false
	}
	return l.config.Duration <= 0 || passed < l.config.Duration
}

// reach waits until an instant. It reports false if the load is stopped.
func (l *Loader) reach(cx context.Context, at carobinstant.Instant) bool {
	for {
		left := at.Sub(l.config.Timer.Now())
		if left <= 0 {
			return cx.Err() == nil
		}
		if l.config.Timer.Wait(cx, left) != nil {
			return false
		}
	}
}

// draw makes the next call.
func (l *Loader) draw(at carobinstant.Instant) call {
	return call{
		at:    at,
		seed:  l.random.Uint64() >> 1,
		node:  l.config.Nodes[l.random.IntN(len(l.config.Nodes))],
		keyed: l.random.Float64() < float64(l.config.Keys),
	}
}
