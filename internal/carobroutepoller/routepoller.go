// Package carobroutepoller reads the operator's route tables from a store while the
// control goroutine needs them.
package carobroutepoller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// source provides the operator's route tables.
type source interface {
	// AwaitRoutes returns the newest table as soon as there is one that it has not
	// returned before, or nil if none appears within wait.
	AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error)
}

// Config holds the parameters of a poller.
type Config struct {
	Source  source
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

const (
	// The backoff after failed reads grows from the first value to the second.
	minBackoff, maxBackoff = 150 * time.Millisecond, time.Second
	// failureThreshold is the number of consecutive failed reads after which the store
	// counts as unreadable.
	failureThreshold = 2
	// recheckInterval is the time between two reads of an unreadable store by a node
	// that does not have to read tables, so that it notices when the store recovers.
	recheckInterval = 10 * time.Second
)

// RoutePoller reads route tables and posts them to the control goroutine's mailbox.
type RoutePoller struct {
	config Config
	mutex  sync.Mutex
	// enabled is true while the control goroutine needs tables. cancel ends the read in
	// progress once it no longer does; nil while there is no such read.
	enabled bool
	cancel  context.CancelFunc
	// meanWait is the mean time for which the store may hold a read that finds nothing.
	meanWait time.Duration
	// changed holds one element after enabled has changed.
	changed chan struct{}
	// failures is the number of consecutive failed reads.
	failures int
	// unreadable is true from the failure that reaches failureThreshold to the next
	// successful read.
	unreadable bool
}

// NewRoutePoller returns a poller that reads nothing until an outbox enables it and Run
// is called.
func NewRoutePoller(c Config) *RoutePoller {
	return &RoutePoller{config: c, changed: make(chan struct{}, 1)}
}

// Execute starts or stops the reading of tables, as the tick decided.
func (p *RoutePoller) Execute(out *caroboutbox.Outbox) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.meanWait = out.LongPollTimeout
	if p.enabled == out.ReadingStore {
		return
	}
	p.enabled = out.ReadingStore
	if !p.enabled && p.cancel != nil {
		p.cancel()
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run reads tables until ctx is done.
func (p *RoutePoller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.isEnabled() && !p.idle(ctx) {
			continue
		}
		p.read(ctx)
	}
}

func (p *RoutePoller) isEnabled() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.enabled
}

// idle waits until enabled changes, or until an unreadable store has to be checked
// again. It reports whether to read although tables are not needed.
func (p *RoutePoller) idle(ctx context.Context) bool {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.unreadable {
		cancelAt := p.config.Timer.Subscribe(cancel)
		cancelAt(p.config.Timer.Now().Add(recheckInterval))
		defer cancelAt(0)
	}
	select {
	case <-p.changed:
		return false
	case <-inner.Done():
		return ctx.Err() == nil
	}
}

// read reads once. The store may hold the read only while tables are needed, not if
// it is checked for recovery.
func (p *RoutePoller) read(ctx context.Context) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := time.Duration(0)
	p.mutex.Lock()
	if p.enabled {
		p.cancel = cancel
		wait = withJitter(p.meanWait)
	}
	p.mutex.Unlock()
	startedAt := p.config.Timer.Now()
	routes, err := p.config.Source.AwaitRoutes(inner, wait)
	p.mutex.Lock()
	p.cancel = nil
	p.mutex.Unlock()
	if err != nil && inner.Err() != nil {
		return
	}
	if err != nil {
		p.logFailure(err, wait, startedAt)
	}
	p.updateState(err)
	if routes != nil {
		p.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.RouteTables = append(in.RouteTables, routes) })
	}
	if err != nil {
		_ = p.config.Timer.Wait(ctx, min(minBackoff<<min(p.failures, 4), maxBackoff))
	}
}

// logFailure logs a failed read. Every one is logged, because the backoff limits their rate.
func (p *RoutePoller) logFailure(err error, wait time.Duration, startedAt carobinstant.Instant) {
	p.config.Logger.WithError(err).WithFields(logrus.Fields{
		"heldms": wait.Milliseconds(), "tookms": p.config.Timer.Now().Sub(startedAt).Milliseconds(),
	}).Info("store: read of route tables failed")
}

// withJitter returns a random duration from d/2 to 3d/2. Reads of many nodes begin
// together when the tables change; the jitter keeps them from ending together.
func withJitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1) //nolint:gosec // it need not be secret
}

// updateState counts failures, and logs and posts when the store becomes unreadable
// or readable again.
func (p *RoutePoller) updateState(err error) {
	p.failures++
	if err == nil {
		p.failures = 0
	}
	unreadable := p.failures >= failureThreshold || p.unreadable && err != nil
	if unreadable == p.unreadable {
		return
	}
	p.unreadable = unreadable
	if unreadable {
		p.config.Logger.WithError(err).Warn("store: route tables cannot be read")
	} else {
		p.config.Logger.Info("store: route tables can be read again")
	}
	p.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.StoreUnreadable = append(in.StoreUnreadable, unreadable) })
}
