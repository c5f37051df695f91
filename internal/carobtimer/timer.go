// Package carobtimer provides the clock and the timers of a node. No other part reads
// the system clock or sleeps by itself.
package carobtimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobschedule"
)

// Timer reads the clock and calls its subscribers at the instants that they set.
type Timer struct {
	// start is when the timer was made. Its monotonic clock reading is the base of Now.
	start time.Time
	// timeSuspended returns for how long the VM has been suspended. suspendedAtStart is its first
	// result, and longestSuspended the largest one in nanoseconds, which never decreases.
	timeSuspended    func() time.Duration
	suspendedAtStart time.Duration
	longestSuspended atomic.Int64
	mu               sync.Mutex
	// schedule has the subscriptions for which an instant is set.
	schedule *carobschedule.Schedule[*subscription]
	// rescheduled wakes the timer's goroutine after the earliest instant has changed.
	// Its capacity is 1 and set drops elements beyond that, which keeps set from
	// blocking.
	rescheduled chan struct{}
}

// subscription is a function that is called when it is due.
type subscription struct {
	call func()
}

// NewTimer returns a timer. It calls no subscriber before Run.
func NewTimer() *Timer {
	return newTimer(timeSuspended)
}

// newTimer returns a timer with a source of the time that the VM has been suspended.
func newTimer(timeSuspended func() time.Duration) *Timer {
	t := &Timer{
		start: time.Now(), timeSuspended: timeSuspended, suspendedAtStart: timeSuspended(),
		schedule: carobschedule.NewSchedule[*subscription](), rescheduled: make(chan struct{}, 1),
	}
	t.longestSuspended.Store(int64(t.suspendedAtStart))
	return t
}

// Now returns the current instant on the node's clock, which never goes back. The clock counts
// the time for which the VM is suspended: leases that others hold go on meanwhile, and what this
// node knows grows older.
func (t *Timer) Now() carobinstant.Instant {
	suspended := t.readSuspended() - t.suspendedAtStart
	return carobinstant.Instant(t.start.UnixNano()).Add(time.Since(t.start) + suspended)
}

// readSuspended reads the time of suspension and returns the longest one read so far. It is
// called by several goroutines.
func (t *Timer) readSuspended() time.Duration {
	current := int64(t.timeSuspended())
	for {
		longest := t.longestSuspended.Load()
		if current <= longest {
			return time.Duration(longest)
		}
		if t.longestSuspended.CompareAndSwap(longest, current) {
			return time.Duration(current)
		}
	}
}

// WallTime returns the wall-clock time, for logs, traces and deadlines of connections.
func (t *Timer) WallTime() time.Time {
	return time.Now()
}

// Subscribe returns a function that sets the instant at which call runs on the timer's
// goroutine. A later set replaces the instant; carobinstant.Never removes it. call must
// not block.
func (t *Timer) Subscribe(call func()) (set func(at carobinstant.Instant)) {
	sub := &subscription{call: call}
	return func(at carobinstant.Instant) { t.set(sub, at) }
}

// Wait returns nil after delay. If ctx ends earlier, it returns the cause at once.
func (t *Timer) Wait(ctx context.Context, delay time.Duration) error {
	done := make(chan struct{})
	set := t.Subscribe(sync.OnceFunc(func() { close(done) }))
	set(t.Now().Add(delay))
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		set(carobinstant.Never)
		return context.Cause(ctx)
	}
}

// Run calls subscribers that are due until ctx ends.
func (t *Timer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-t.rescheduled:
		}
		if next := t.fire(); next != carobinstant.Never {
			timer.Reset(next.Sub(t.Now()))
		}
	}
}

// fire calls the subscribers that are due. It returns the instant of the next one, or
// Never if there is none.
func (t *Timer) fire() carobinstant.Instant {
	for {
		call, next := t.pop()
		if call == nil {
			return next
		}
		call()
	}
}

// pop removes and returns the function of a subscription that is due. If none is due,
// it returns nil and the instant of the next one.
func (t *Timer) pop() (func(), carobinstant.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sub, ok := t.schedule.Pop(t.Now()); ok {
		return sub.call, carobinstant.Never
	}
	return nil, t.schedule.NextDue()
}

// set sets the instant of a subscription, and wakes the goroutine of Run if that is now
// the earliest one.
func (t *Timer) set(sub *subscription, at carobinstant.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedule.Set(sub, at)
	if first, ok := t.schedule.Peek(); !ok || first != sub {
		return
	}
	select {
	case t.rescheduled <- struct{}{}:
	default:
	}
}
