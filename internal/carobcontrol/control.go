// Package carobcontrol runs the control goroutine, which owns all control state.
package carobcontrol

import (
	"context"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// executor carries out those effects of a tick that concern it. It is called on the
// control goroutine and must not block.
type executor interface {
	Execute(out *caroboutbox.Outbox)
}

// Config holds the parameters of the control goroutine.
type Config struct {
	Core    *carobcore.Core
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
}

// Control runs ticks and queries on the control goroutine.
type Control struct {
	config    Config
	executors []executor
	// queries are the queries of the world, which run between ticks.
	queries chan func(world *carobworld.World)
}

// NewControl returns a control without executors.
func NewControl(c Config) *Control {
	return &Control{config: c, queries: make(chan func(world *carobworld.World), 1)}
}

// AddExecutor adds an executor. It must not be called after Run has started.
func (c *Control) AddExecutor(e executor) {
	c.executors = append(c.executors, e)
}

// Run runs ticks until ctx ends. A tick starts when the mailbox has messages, a query
// waits, or the next wake-up time of the world has come. Between ticks the goroutine
// blocks.
func (c *Control) Run(ctx context.Context) {
	setWakeUp := c.config.Timer.Subscribe(c.config.Mailbox.RequestTick)
	c.config.Mailbox.RequestTick()
	for {
		if !c.config.Mailbox.AwaitTick(ctx) {
			return
		}
		// Collect the queries before the messages. Messages that were posted before a
		// query was made are then part of the tick that runs before the query.
		queries := c.takeQueries()
		c.tick(c.config.Mailbox.TakeAll())
		for _, run := range queries {
			run(c.config.Core.World())
		}
		setWakeUp(c.config.Core.Wake())
	}
}

// Query runs a query on the control goroutine, after a tick that has processed all
// messages posted before. The query may read the world, but must not keep references
// into it. If ctx ends first, Query returns the cause; the query may still run later.
func (c *Control) Query(ctx context.Context, query func(world *carobworld.World)) error {
	done := make(chan struct{})
	run := func(world *carobworld.World) {
		query(world)
		close(done)
	}
	select {
	case c.queries <- run:
		c.config.Mailbox.RequestTick()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// tick runs all systems over the tables with the inbox as input, and passes their
// effects to the executors.
func (c *Control) tick(inbox carobinbox.Inbox) {
	now, due := c.config.Timer.Now(), c.config.Core.Wake()
	out := c.config.Core.Tick(now, inbox)
	if due != carobinstant.Never && due.Reached(now) {
		out.TickDelay = max(1, now.Sub(due))
	}
	for _, e := range c.executors {
		e.Execute(out)
	}
}

// takeQueries removes and returns the waiting queries. It does not block.
func (c *Control) takeQueries() []func(world *carobworld.World) {
	var queries []func(world *carobworld.World)
	for {
		select {
		case run := <-c.queries:
			queries = append(queries, run)
		default:
			return queries
		}
	}
}
