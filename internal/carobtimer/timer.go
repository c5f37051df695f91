// Package carobtimer is the timer service. All other parts subscribe to it; none
// reads the clock or sleeps by itself.
package carobtimer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Timer tells the time and wakes its subscribers.
type Timer struct {
	// start is when the timer was made; its monotonic reading is what counts.
	start time.Time
	mutex sync.Mutex
	// queue has the subscriptions that are due some time, the earliest first.
	queue queue
	// rung tells the timer's goroutine that the queue has a new head. It holds
	// one element, so that ringing never blocks.
	rung chan struct{}
}

// NewTimer returns a timer. It wakes nobody before Run.
func NewTimer() *Timer {
	return &Timer{start: time.Now(), rung: make(chan struct{}, 1)}
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
	sb := &subscription{call: call, place: absent}
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
	if len(t.queue) == 0 {
		return nil, carobinstant.Never
	}
	if head := t.queue[0]; !head.at.Reached(t.Now()) {
		return nil, head.at
	}
	sb, _ := heap.Pop(&t.queue).(*subscription)
	return sb.call, carobinstant.Never
}

func (t *Timer) set(sb *subscription, at carobinstant.Instant) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sb.place != absent {
		heap.Remove(&t.queue, sb.place)
	}
	if at == carobinstant.Never {
		return
	}
	sb.at = at
	heap.Push(&t.queue, sb)
	if sb.place == 0 {
		select {
		case t.rung <- struct{}{}:
		default:
		}
	}
}
