// Package carobtracewriter writes what a node has to tell into the platform's log: the
// hops of calls, the audit trail, and the records that systems order.
//
// The log takes several hundred appends a second from all nodes together. So hops
// and audit entries are collected, and each stream gets one append in a few
// seconds, or one soon if there was none for that long. While the log is out they
// are kept, up to a bound; what is dropped beyond it is counted, and the next
// record says how much that was. An append whose answer is lost is made again, so
// a batch may stand in the log twice; its number tells.
package carobtracewriter

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

// Config is how a trace writer is made.
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

// TraceWriter writes into the log.
type TraceWriter struct {
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

// NewTraceWriter returns a trace writer that does not write yet.
func NewTraceWriter(c Config) *TraceWriter {
	return &TraceWriter{
		config: c,
		bundles: map[carobstream.Stream]*bundle{
			carobstream.Traces: newBundle(c), carobstream.Audit: newBundle(c),
		},
		orders: map[carobstream.Stream][]byte{},
		rung:   make(chan struct{}, 1),
	}
}

// Carry collects what a tick has to tell. It does not block on the log.
func (t *TraceWriter) Carry(out *caroboutbox.Outbox) {
	if len(out.Hops) == 0 && len(out.Audits) == 0 && len(out.Appends) == 0 {
		return
	}
	t.mutex.Lock()
	for i := range out.Hops {
		t.bundles[carobstream.Traces].add(&out.Hops[i])
	}
	for i := range out.Audits {
		t.audit(&out.Audits[i])
	}
	for _, ap := range out.Appends {
		t.orders[ap.Stream] = ap.Data
	}
	t.mutex.Unlock()
	t.ring()
}

func (t *TraceWriter) ring() {
	select {
	case t.rung <- struct{}{}:
	default:
	}
}

// audit logs an entry and collects it.
func (t *TraceWriter) audit(au *carobaudit.Audit) {
	if au.When.IsZero() {
		au.When = t.config.Timer.Wall().UTC()
	}
	t.config.Logger.WithFields(logrus.Fields{
		"part": au.Component, "who": au.Who, "what": au.What, "from": au.From, "to": au.To,
	}).Info("audit: changed")
	if !au.LocalOnly {
		t.bundles[carobstream.Audit].add(au)
	}
}

// Lost returns how many hops and audit entries were dropped.
func (t *TraceWriter) Lost() (hops, audits int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.bundles[carobstream.Traces].dropped, t.bundles[carobstream.Audit].dropped
}

// Run writes until cx ends.
func (t *TraceWriter) Run(cx context.Context) {
	set := t.config.Timer.Subscribe(t.ring)
	defer set(carobinstant.Never)
	for {
		select {
		case <-cx.Done():
			return
		case <-t.rung:
		}
		set(t.write(cx, false))
	}
}

// Flush writes all that is left, if the log takes it at once.
func (t *TraceWriter) Flush(cx context.Context) {
	t.write(cx, true)
}

// write makes the appends that are due, or all, and returns when the next one is.
func (t *TraceWriter) write(cx context.Context, all bool) carobinstant.Instant {
	t.writing.Lock()
	defer t.writing.Unlock()
	next := t.writeOrders(cx)
	for stream, bd := range t.bundles {
		t.mutex.Lock()
		now := t.config.Timer.Now()
		due := bd.due(now)
		var data []byte
		if due.Reached(now) || all && due != carobinstant.Never {
			data = bd.take(now)
			due = now.Add(gap)
		}
		t.mutex.Unlock()
		next = carobinstant.Earlier(next, due)
		if data == nil {
			continue
		}
		_, err := t.config.Log.Append(cx, stream, data)
		t.mutex.Lock()
		bd.settle(err == nil)
		t.mutex.Unlock()
		if err != nil {
			t.config.Logger.WithField("stream", stream).WithError(err).Warn("log: append is put off")
		}
	}
	return next
}

// writeOrders appends the records that systems ordered.
func (t *TraceWriter) writeOrders(cx context.Context) carobinstant.Instant {
	t.mutex.Lock()
	orders := t.orders
	t.orders = map[carobstream.Stream][]byte{}
	t.mutex.Unlock()
	next := carobinstant.Never
	for stream, data := range orders {
		if _, err := t.config.Log.Append(cx, stream, data); err == nil {
			continue
		}
		next = t.config.Timer.Now().Add(retry)
		t.mutex.Lock()
		if _, newer := t.orders[stream]; !newer {
			t.orders[stream] = data
		}
		t.mutex.Unlock()
	}
	return next
}
