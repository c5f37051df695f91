// Package carobcontrol runs the control goroutine, which owns all state.
package carobcontrol

import (
	"context"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// outlet carries out the effects that concern it. It must not block.
type outlet interface {
	Carry(out *caroboutbox.Outbox)
}

// Config is how the control is made.
type Config struct {
	Core    *carobcore.Core
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
}

// Control is the control goroutine.
type Control struct {
	config  Config
	outlets []outlet
	// asks are questions about the world, answered between ticks.
	asks chan func(w *carobworld.World)
}

// NewControl returns a control that carries nothing out yet.
func NewControl(c Config) *Control {
	return &Control{config: c, asks: make(chan func(w *carobworld.World), 1)}
}

// Attach adds an outlet. All are attached before Run.
func (c *Control) Attach(o outlet) {
	c.outlets = append(c.outlets, o)
}

// Run ticks until cx ends. A tick starts when messages come or the world is due
// to wake; in between the goroutine blocks.
func (c *Control) Run(cx context.Context) {
	alarm := c.config.Timer.Subscribe(c.config.Mailbox.Ring)
	c.config.Mailbox.Ring()
	for {
		if !c.config.Mailbox.Await(cx) {
			return
		}
		// Questions first: what was posted before a question was asked is in the
		// tick that comes before its answer.
		questions := c.questions()
		c.tick(c.config.Mailbox.Take())
		for _, ask := range questions {
			ask(c.config.Core.World())
		}
		alarm(c.config.Core.Wake())
	}
}

// Ask runs a question on the control goroutine between two ticks, after a tick
// that took in all that was posted before. The question may read the world and must keep nothing of it.
func (c *Control) Ask(cx context.Context, question func(w *carobworld.World)) error {
	done := make(chan struct{})
	ask := func(w *carobworld.World) {
		question(w)
		close(done)
	}
	select {
	case c.asks <- ask:
		c.config.Mailbox.Ring()
	case <-cx.Done():
		return context.Cause(cx)
	}
	select {
	case <-done:
		return nil
	case <-cx.Done():
		return context.Cause(cx)
	}
}

func (c *Control) tick(in carobinbox.Inbox) {
	out := c.config.Core.Tick(c.config.Timer.Now(), in)
	for _, o := range c.outlets {
		o.Carry(out)
	}
}

// questions takes out what is asked now.
func (c *Control) questions() []func(w *carobworld.World) {
	var asks []func(w *carobworld.World)
	for {
		select {
		case ask := <-c.asks:
			asks = append(asks, ask)
		default:
			return asks
		}
	}
}
