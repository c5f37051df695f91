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
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

// source provides the operator's route tables.
type source interface {
	// AwaitRoutes returns the newest table as soon as there is one that it has not
	// returned before, or nil if none appears within wait.
	AwaitRoutes(ctx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error)
}

// rejecter is a source that can tell which table it could not read.
type rejecter interface {
	// Rejection returns the newest table if it cannot be used, and nil otherwise.
	Rejection() *carobrouterejection.RouteRejection
}

// eraSource is a source whose store names its era.
type eraSource interface {
	// Era returns the highest era that a response of the store has named.
	Era() carobstoreera.Era
}

// evacuationSource is a source whose store has records of evacuations.
type evacuationSource interface {
	// Evacuations returns what the last successful call of AwaitRoutes found of them.
	Evacuations() carobevacuationlist.EvacuationList
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
	// enabled is true while the control goroutine waits for a table. cancel ends the read in
	// progress once it no longer does; nil while there is no such read.
	enabled bool
	cancel  context.CancelFunc
	// meanWait is the mean time for which the store may hold a read that finds nothing.
	meanWait time.Duration
	// changed holds one element after enabled or unreadable has changed, and confirmDue one after a read
	// was requested that is not held.
	changed, confirmDue chan struct{}
	// rejection is the newest one that was posted; nil if there is none.
	rejection *carobrouterejection.RouteRejection
	// era is the highest one that was posted; None if none was.
	era carobstoreera.Era
	// failures is the number of consecutive failed reads.
	failures int
	// unreadable is true from the failure that reaches failureThreshold to the next
	// successful read.
	unreadable bool
}

// NewRoutePoller returns a poller that reads nothing until an outbox enables it and Run
// is called.
func NewRoutePoller(c Config) *RoutePoller {
	return &RoutePoller{config: c, changed: make(chan struct{}, 1), confirmDue: make(chan struct{}, 1)}
}

// Execute starts or stops the reading of tables, as the tick decided, and starts the read
// that it requested to confirm the table in force.
func (p *RoutePoller) Execute(out *caroboutbox.Outbox) {
	if out.ConfirmRoutes {
		notify(p.confirmDue)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.meanWait = out.LongPollTimeout
	if p.enabled == out.AwaitingTable {
		return
	}
	p.enabled = out.AwaitingTable
	if !p.enabled && p.cancel != nil {
		p.cancel()
	}
	notify(p.changed)
}

// notify adds an element to a channel that holds one, unless it has it already.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run reads tables until ctx is done. Reads that confirm the table in force do not wait for
// a read that the store holds.
func (p *RoutePoller) Run(ctx context.Context) {
	go p.confirm(ctx)
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

func (p *RoutePoller) isUnreadable() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unreadable
}

// idle waits until enabled or unreadable changes, or until an unreadable store has to be checked
// again. It reports whether to read although tables are not needed.
func (p *RoutePoller) idle(ctx context.Context) bool {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	if p.isUnreadable() {
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
	err := p.readOnce(inner, wait)
	p.mutex.Lock()
	p.cancel = nil
	failures := p.failures
	p.mutex.Unlock()
	if err != nil && inner.Err() == nil {
		_ = p.config.Timer.Wait(ctx, min(minBackoff<<min(failures, 4), maxBackoff))
	}
}

// confirm reads once for each request, without letting the store hold the read. A request
// during a read is dropped, because that read serves it.
func (p *RoutePoller) confirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.confirmDue:
		}
		_ = p.readOnce(ctx, 0)
		select {
		case <-p.confirmDue:
		default:
		}
	}
}

// readOnce reads and posts the result. A read that failed because ctx was cancelled is not
// counted as a failure.
func (p *RoutePoller) readOnce(ctx context.Context, wait time.Duration) error {
	startedAt := p.config.Timer.Now()
	routes, err := p.config.Source.AwaitRoutes(ctx, wait)
	p.postEra()
	if err != nil && ctx.Err() != nil {
		return err
	}
	if err != nil {
		p.logFailure(err, wait, startedAt)
	}
	p.updateState(err)
	if err != nil {
		return err
	}
	rejection, changed := p.newRejection()
	evacuations, ok := p.listEvacuations(startedAt)
	p.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.StoreReads = append(in.StoreReads, startedAt)
		if ok {
			in.EvacuationLists = append(in.EvacuationLists, evacuations)
		}
		if changed {
			in.RouteRejections = append(in.RouteRejections, rejection)
		}
		if routes != nil {
			in.RouteTables = append(in.RouteTables, routes)
		}
	})
	return nil
}

// listEvacuations returns what a read that began at an instant found of evacuations, and
// whether the source has records of them.
func (p *RoutePoller) listEvacuations(startedAt carobinstant.Instant) (carobevacuationlist.EvacuationList, bool) {
	source, ok := p.config.Source.(evacuationSource)
	if !ok {
		return carobevacuationlist.EvacuationList{}, false
	}
	list := source.Evacuations()
	list.ReadAt = startedAt
	return list, true
}

// postEra posts the era of the store if it has risen. Failed reads may name one too.
func (p *RoutePoller) postEra() {
	source, ok := p.config.Source.(eraSource)
	if !ok {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	era := source.Era()
	if era <= p.era {
		return
	}
	p.era = era
	p.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.StoreEras = append(in.StoreEras, era) })
}

// newRejection returns the table that the source rejects at present, and whether it has
// changed since the last call.
func (p *RoutePoller) newRejection() (*carobrouterejection.RouteRejection, bool) {
	source, ok := p.config.Source.(rejecter)
	if !ok {
		return nil, false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.rejection
	p.rejection = source.Rejection()
	return p.rejection, p.rejection != before
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
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failures++
	if err == nil {
		p.failures = 0
	}
	unreadable := p.failures >= failureThreshold || p.unreadable && err != nil
	if unreadable == p.unreadable {
		return
	}
	p.unreadable = unreadable
	notify(p.changed)
	if unreadable {
		p.config.Logger.WithError(err).Warn("store: route tables cannot be read")
	} else {
		p.config.Logger.Info("store: route tables can be read again")
	}
	p.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.StoreUnreadable = append(in.StoreUnreadable, unreadable) })
}
