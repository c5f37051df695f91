// Package carobfollower reads the operator's route tables from a store while the
// control goroutine wants that.
package carobfollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
)

// source has the operator's route tables.
type source interface {
	// Routes returns the newest table once there is one that was not returned
	// before, or nil if there is none for as long as wait.
	Routes(cx context.Context, wait time.Duration) (*carobroutetable.RouteTable, error)
}

// Config is how a follower is made.
type Config struct {
	Source  source
	Mailbox *carobmailbox.Mailbox
	Timer   *carobtimer.Timer
	Logger  *logrus.Entry
}

const (
	// The time between two tries of a failing read grows from the first to the last.
	firstPause, lastPause = 150 * time.Millisecond, time.Second
	// enough is how many reads in a row fail before the node counts as blind.
	enough = 2
	// retry is the time between two looks of a blind node that need not follow.
	retry = 10 * time.Second
)

// Follower reads route tables.
type Follower struct {
	config Config
	mutex  sync.Mutex
	// following says that the control goroutine wants tables; stop ends a read when
	// it does not any more, and is nil while there is none.
	following bool
	stop      context.CancelFunc
	// hold is how long a read may be held on average.
	hold time.Duration
	// rung holds one element while following has changed.
	rung chan struct{}
	// failures counts the reads that failed in a row.
	failures int
	blind    bool
}

// NewFollower returns a follower that reads nothing yet.
func NewFollower(c Config) *Follower {
	return &Follower{config: c, rung: make(chan struct{}, 1)}
}

// Carry takes note of whether tables are wanted.
func (f *Follower) Carry(out *caroboutbox.Outbox) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hold = out.LongPollTimeout
	if f.following == out.ReadingStore {
		return
	}
	f.following = out.ReadingStore
	if !f.following && f.stop != nil {
		f.stop()
	}
	select {
	case f.rung <- struct{}{}:
	default:
	}
}

// Run reads until cx ends.
func (f *Follower) Run(cx context.Context) {
	for cx.Err() == nil {
		if !f.wanted() && !f.idle(cx) {
			continue
		}
		f.read(cx)
	}
}

func (f *Follower) wanted() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.following
}

// idle waits until tables are wanted, or a blind node is to look again.
func (f *Follower) idle(cx context.Context) bool {
	inner, cancel := context.WithCancel(cx)
	defer cancel()
	if f.blind {
		set := f.config.Timer.Subscribe(cancel)
		set(f.config.Timer.Now().Add(retry))
		defer set(0)
	}
	select {
	case <-f.rung:
		return false
	case <-inner.Done():
		return cx.Err() == nil
	}
}

// read reads once. While a blind node need not follow, it does not wait.
func (f *Follower) read(cx context.Context) {
	inner, cancel := context.WithCancel(cx)
	defer cancel()
	hold := time.Duration(0)
	f.mutex.Lock()
	if f.following {
		f.stop = cancel
		hold = spread(f.hold)
	}
	f.mutex.Unlock()
	rs, err := f.config.Source.Routes(inner, hold)
	f.mutex.Lock()
	f.stop = nil
	f.mutex.Unlock()
	if inner.Err() != nil {
		return
	}
	f.judge(err)
	if rs != nil {
		f.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.RouteTables = append(in.RouteTables, rs) })
	}
	if err != nil {
		_ = f.config.Timer.Wait(cx, min(firstPause<<min(f.failures, 4), lastPause))
	}
}

// spread returns a time between half and one and a half of d, so that reads that
// began together, at the same change, do not end together.
func spread(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1) //nolint:gosec // it need not be secret
}

// judge tells the control goroutine when the store is lost or back.
func (f *Follower) judge(err error) {
	f.failures++
	if err == nil {
		f.failures = 0
	}
	blind := f.failures >= enough || f.blind && err != nil
	if blind == f.blind {
		return
	}
	f.blind = blind
	if blind {
		f.config.Logger.WithError(err).Warn("store: route tables cannot be read")
	} else {
		f.config.Logger.Info("store: route tables are read again")
	}
	f.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.StoreUnreadable = append(in.StoreUnreadable, blind) })
}
