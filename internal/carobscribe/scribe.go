// Package carobscribe writes what a node has to tell into the platform's log: the
// hops of calls, the audit trail, and the records that systems order.
//
// The log takes several hundred appends a second from all nodes together. So hops
// and audit entries are collected, and each stream gets one append in a few
// seconds, or one soon if there was none for that long. While the log is out they
// are kept, up to a bound; what is dropped beyond it is counted, and the next
// record says how much that was. An append whose answer is lost is made again, so
// a batch may stand in the log twice; its number tells.
package carobscribe

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// appender appends records to the log.
type appender interface {
	Append(cx context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error)
}

// Config is how a scribe is made.
type Config struct {
	// Self names the node in the records.
	Self   carobmember.Member
	Log    appender
	Timer  *carobtimer.Timer
	Logger *logrus.Entry
	// Kept is the most bytes that are kept of each stream, packed.
	Kept carobsize.Size
}

const (
	// linger is how long a first entry waits for others.
	linger = 200 * time.Millisecond
	// gap is the least time between two appends to a stream, and between two
	// tries while the log is out.
	gap = 5 * time.Second
	// retry is the time between two tries of a record that a system ordered.
	retry = 500 * time.Millisecond
	// largest is about the most bytes of one record.
	largest = 512 << 10
)

// Scribe writes into the log.
type Scribe struct {
	config Config
	// writing is held while appends are made; mutex, only while state is touched.
	writing sync.Mutex
	mutex   sync.Mutex
	// bundles has what is collected for a stream.
	bundles map[carobstream.Stream]*bundle
	// orders has the newest record ordered for each stream.
	orders map[carobstream.Stream][]byte
	// rung holds one element while there is something to do.
	rung chan struct{}
}

// NewScribe returns a scribe that does not write yet.
func NewScribe(c Config) *Scribe {
	return &Scribe{
		config: c,
		bundles: map[carobstream.Stream]*bundle{
			carobstream.Traces: newBundle(c), carobstream.Audit: newBundle(c),
		},
		orders: map[carobstream.Stream][]byte{},
		rung:   make(chan struct{}, 1),
	}
}

// Carry collects what a tick has to tell. It does not block on the log.
func (s *Scribe) Carry(out *caroboutbox.Outbox) {
	if len(out.Hops) == 0 && len(out.Audits) == 0 && len(out.Appends) == 0 {
		return
	}
	s.mutex.Lock()
	for i := range out.Hops {
		s.bundles[carobstream.Traces].add(&out.Hops[i])
	}
	for i := range out.Audits {
		s.audit(&out.Audits[i])
	}
	for _, ap := range out.Appends {
		s.orders[ap.Stream] = ap.Data
	}
	s.mutex.Unlock()
	s.ring()
}

func (s *Scribe) ring() {
	select {
	case s.rung <- struct{}{}:
	default:
	}
}

// audit logs an entry and collects it.
func (s *Scribe) audit(au *carobaudit.Audit) {
	if au.When.IsZero() {
		au.When = s.config.Timer.Wall().UTC()
	}
	s.config.Logger.WithFields(logrus.Fields{
		"part": au.Part, "who": au.Who, "what": au.What, "from": au.From, "to": au.To,
	}).Info("audit: changed")
	if !au.Local {
		s.bundles[carobstream.Audit].add(au)
	}
}

// Lost returns how many hops and audit entries were dropped.
func (s *Scribe) Lost() (hops, audits int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.bundles[carobstream.Traces].dropped, s.bundles[carobstream.Audit].dropped
}

// Run writes until cx ends.
func (s *Scribe) Run(cx context.Context) {
	set := s.config.Timer.Subscribe(s.ring)
	defer set(carobinstant.Never)
	for {
		select {
		case <-cx.Done():
			return
		case <-s.rung:
		}
		set(s.write(cx, false))
	}
}

// Flush writes all that is left, if the log takes it at once.
func (s *Scribe) Flush(cx context.Context) {
	s.write(cx, true)
}

// write makes the appends that are due, or all, and returns when the next one is.
func (s *Scribe) write(cx context.Context, all bool) carobinstant.Instant {
	s.writing.Lock()
	defer s.writing.Unlock()
	next := s.writeOrders(cx)
	for stream, bd := range s.bundles {
		s.mutex.Lock()
		now := s.config.Timer.Now()
		due := bd.due(now)
		var data []byte
		if due.Reached(now) || all && due != carobinstant.Never {
			data = bd.take(now)
			due = now.Add(gap)
		}
		s.mutex.Unlock()
		next = carobinstant.Earlier(next, due)
		if data == nil {
			continue
		}
		_, err := s.config.Log.Append(cx, stream, data)
		s.mutex.Lock()
		bd.settle(err == nil)
		s.mutex.Unlock()
		if err != nil {
			s.config.Logger.WithField("stream", stream).WithError(err).Warn("log: append is put off")
		}
	}
	return next
}

// writeOrders appends the records that systems ordered.
func (s *Scribe) writeOrders(cx context.Context) carobinstant.Instant {
	s.mutex.Lock()
	orders := s.orders
	s.orders = map[carobstream.Stream][]byte{}
	s.mutex.Unlock()
	next := carobinstant.Never
	for stream, data := range orders {
		if _, err := s.config.Log.Append(cx, stream, data); err == nil {
			continue
		}
		next = s.config.Timer.Now().Add(retry)
		s.mutex.Lock()
		if _, newer := s.orders[stream]; !newer {
			s.orders[stream] = data
		}
		s.mutex.Unlock()
	}
	return next
}
