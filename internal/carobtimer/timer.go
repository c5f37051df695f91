// Package carobtimer is the timer service. All other parts subscribe to it; none
// reads the clock or sleeps by itself.
package carobtimer

import (
	"context"
	"sync"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobschedule"
)

// Timer tells the time and wakes its subscribers.
type Timer struct {
	// start is when the timer was made; its monotonic reading is what counts.
	start time.Time
	mutex sync.Mutex
	// agenda has the subscriptions that are due some time.
	agenda *carobschedule.Schedule[*subscription]
	// rung tells the timer's goroutine that another subscription is due first. It holds
	// one element, so that ringing never blocks.
	rung chan struct{}
}

// subscription is what is called when it is due.
type subscription struct {
	call func()
}

// NewTimer returns a timer. It wakes nobody before Run.
func NewTimer() *Timer {
	return &Timer{
		start: time.Now(), agenda: carobschedule.NewSchedule[*subscription](), rung: make(chan struct{}, 1),
	}
}

// Now returns the instant on the node's clock, which never goes back.
func (t *Timer) Now() carobinstant.Instant {
	return carobinstant.Instant(t.start.UnixNano()).Add(time.Since(t.start))
}

// Wall returns the time of day, for logs, traces and deadlines of connections.
func (t *Timer) Wall() time.Time {
	return time.Now()
}

// Subscribe has call run on the timer's goroutine at the instant last given to
// set. call must not block.
func (t *Timer) Subscribe(call func()) (set func(at carobinstant.Instant)) {
	sb := &subscription{call: call}
	return func(at carobinstant.Instant) { t.set(sb, at) }
}

// Wait returns after d, or at once with an error if cx ends before.
func (t *Timer) Wait(cx context.Context, d time.Duration) error {
	done := make(chan struct{})
	set := t.Subscribe(sync.OnceFunc(func() { close(done) }))
	set(t.Now().Add(d))
	select {
	case <-done:
		return nil
	case <-cx.Done():
		set(carobinstant.Never)
		return context.Cause(cx)
	}
}

// Run wakes subscribers until cx ends.
func (t *Timer) Run(cx context.Context) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-cx.Done():
			return
		case <-alarm.C:
		case <-t.rung:
		}
		if next := t.fire(); next != carobinstant.Never {
			alarm.Reset(next.Sub(t.Now()))
		}
	}
}

// fire wakes those that are due and returns when the next one is.
func (t *Timer) fire() carobinstant.Instant {
	for {
		call, next := t.pop()
		if call == nil {
			return next
		}
		call()
	}
}

func (t *Timer) pop() (func(), carobinstant.Instant) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sb, ok := t.agenda.Pop(t.Now()); ok {
		return sb.call, carobinstant.Never
	}
	return nil, t.agenda.NextDue()
}

func (t *Timer) set(sb *subscription, at carobinstant.Instant) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.agenda.Set(sb, at)
	if first, ok := t.agenda.Peek(); !ok || first != sb {
		return
	}
	select {
	case t.rung <- struct{}{}:
	default:
	}
}
