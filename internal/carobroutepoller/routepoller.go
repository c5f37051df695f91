// Package carobroutepoller reads the operator's route tables from a store while the
// control goroutine needs them.
package carobroutepoller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

// source provides the operator's route tables. Several goroutines may read at once.
type source interface {
	// AwaitRoutes returns the newest table once the store has one that no call has returned
	// before, or after wait. It is at least as new as the store's newest when the call began, and
	// nil if the store has none. A call that gets no response ends with an error some time later.
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
	// responseTimeout is the time without a response, besides the time for which the store may
	// hold a read, after which the read counts as failed. It goes on, and its response is used.
	responseTimeout = time.Second
	// maxReads is the largest number of reads in progress.
	maxReads = 8
	// recheckInterval is the time between two reads of an unreadable store by a node
	// that does not have to read tables, so that it notices when the store recovers.
	recheckInterval = 10 * time.Second
)

// errNoResponse is the failure of a read that has had no response for responseTimeout.
var errNoResponse = carobkind.New(carobkind.LogUnavailable, "the store has not responded within %s", responseTimeout)

// RoutePoller reads route tables and posts them to the control goroutine's mailbox.
type RoutePoller struct {
	config Config
	mutex  sync.Mutex
	// enabled is true while the control goroutine waits for a table.
	enabled bool
	// reads are the reads in progress, the oldest first; maxReads at most.
	reads []*reading
	// meanWait is the mean time for which the store may hold a read that finds nothing.
	meanWait time.Duration
	// changed holds one element after enabled or unreadable has changed, and confirmDue one after a read
	// was requested that is not held.
	changed, confirmDue chan struct{}
	// rejection is the newest one that was posted; nil if there is none.
	rejection *carobrouterejection.RouteRejection
	// era is the highest one that was posted; None if none was.
	era carobstoreera.Era
	// failures is the number of consecutive failed reads, and answeredAt when the newest read
	// began that succeeded in time; Never if none has. Failures of earlier reads do not count.
	failures   int
	answeredAt carobinstant.Instant
	// unreadable is true from the failure that reaches failureThreshold to the next read that
	// succeeds in time.
	unreadable bool
}

// reading is a read in progress. The mutex of the poller guards err and isSettled.
type reading struct {
	startedAt carobinstant.Instant
	// awaiting is true if the read is for a node that waits for a table, and wait is how long
	// the store may hold it.
	awaiting bool
	wait     time.Duration
	// cancel ends the read.
	cancel context.CancelFunc
	// settled is closed, and isSettled true, once the read has ended or counts as failed. err is
	// its failure; nil before.
	settled   chan struct{}
	isSettled bool
	err       error
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
	for _, read := range p.reads {
		if read.awaiting && !p.enabled {
			read.cancel()
		}
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

// read reads once, and returns once the read has ended or counts as failed. The store may hold
// the read only while tables are needed, not if it is checked for recovery.
func (p *RoutePoller) read(ctx context.Context) {
	read := p.begin(ctx, true)
	select {
	case <-read.settled:
	case <-ctx.Done():
		return
	}
	p.mutex.Lock()
	err, failures := read.err, p.failures
	p.mutex.Unlock()
	if err != nil {
		_ = p.config.Timer.Wait(ctx, min(minBackoff<<min(failures, 4), maxBackoff))
	}
}

// confirm begins a read for each request, without letting the store hold it. It does not wait for
// earlier reads, because their responses may be lost or late.
func (p *RoutePoller) confirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.confirmDue:
			p.begin(ctx, false)
		}
	}
}

// begin begins a read. If there are too many, it cancels the oldest one. awaiting is true if the
// read is for a node that waits for a table.
func (p *RoutePoller) begin(ctx context.Context, awaiting bool) *reading {
	ctx, cancel := context.WithCancel(ctx)
	read := &reading{startedAt: p.config.Timer.Now(), cancel: cancel, settled: make(chan struct{})}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if awaiting && p.enabled {
		read.awaiting, read.wait = true, withJitter(p.meanWait)
	}
	if len(p.reads) >= maxReads {
		p.reads[0].cancel()
		p.reads = p.reads[1:]
	}
	p.reads = append(p.reads, read)
	go p.complete(ctx, read)
	return read
}

// complete carries out a read and posts the result. A table that arrives after the read was
// cancelled is used too.
func (p *RoutePoller) complete(ctx context.Context, read *reading) {
	defer read.cancel()
	failAt := p.config.Timer.Subscribe(func() { p.settle(read, errNoResponse) })
	failAt(read.startedAt.Add(read.wait + responseTimeout))
	defer failAt(0)
	routes, err := p.config.Source.AwaitRoutes(ctx, read.wait)
	p.postEra()
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	p.settle(read, err)
	if err == nil {
		p.post(read.startedAt, routes)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads = slices.DeleteFunc(p.reads, func(other *reading) bool { return other == read })
}

// settle counts a read that has ended, or has had no response for responseTimeout. Only the first
// call for a read has an effect. A cancelled read counts neither as failed nor as successful.
func (p *RoutePoller) settle(read *reading, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if read.isSettled {
		return
	}
	read.isSettled = true
	close(read.settled)
	if errors.Is(err, context.Canceled) {
		return
	}
	read.err = err
	if err != nil {
		p.logFailure(err, read)
	}
	p.updateState(err, read.startedAt)
}

// post posts what a read found that began at an instant.
func (p *RoutePoller) post(startedAt carobinstant.Instant, routes *carobroutetable.RouteTable) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
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
// changed since the last call. The caller holds the mutex.
func (p *RoutePoller) newRejection() (*carobrouterejection.RouteRejection, bool) {
	source, ok := p.config.Source.(rejecter)
	if !ok {
		return nil, false
	}
	before := p.rejection
	p.rejection = source.Rejection()
	return p.rejection, p.rejection != before
}

// logFailure logs a failed read. Every one is logged, because the backoff limits their rate.
func (p *RoutePoller) logFailure(err error, read *reading) {
	p.config.Logger.WithError(err).WithFields(logrus.Fields{
		"heldms": read.wait.Milliseconds(), "tookms": p.config.Timer.Now().Sub(read.startedAt).Milliseconds(),
	}).Info("store: read of route tables failed")
}

// withJitter returns a random duration from d/2 to 3d/2. Reads of many nodes begin
// together when the tables change; the jitter keeps them from ending together.
func withJitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1) //nolint:gosec // it need not be secret
}

// updateState counts failures, and logs and posts when the store becomes unreadable
// or readable again. The caller holds the mutex.
func (p *RoutePoller) updateState(err error, startedAt carobinstant.Instant) {
	switch {
	case err == nil:
		p.failures, p.answeredAt = 0, max(p.answeredAt, startedAt)
	case startedAt < p.answeredAt:
		return
	default:
		p.failures++
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
