// Package caroblogwriter writes what a node records into the platform's log: the
// hops of calls, the audit trail, and the records that systems append.
//
// The log takes several hundred appends a second from all nodes together. Hops and
// audit entries are therefore buffered, and each stream gets one append in 5 s, or
// one within 200 ms if there was none for that long. While the log is unavailable
// entries are kept up to a limit. Beyond it the oldest are dropped and counted, and the
// next record holds the count. An append whose response is lost is repeated, so a
// batch may be in the log twice; readers recognise it by its number.
package caroblogwriter

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
	Append(ctx context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error)
}

// Config holds the parameters of a writer.
type Config struct {
	// Self is named in the records as their source.
	Self   carobmember.Member
	Log    appender
	Timer  *carobtimer.Timer
	Logger *logrus.Entry
	// MaxBufferedSize limits the compressed entries that are buffered for each stream.
	MaxBufferedSize carobsize.Size
}

const (
	// linger is how long the first entry of a batch waits for others.
	linger = 200 * time.Millisecond
	// appendInterval is the minimum time between two appends to a stream, and between
	// two attempts while the log is unavailable.
	appendInterval = 5 * time.Second
	// retryInterval is the time between two attempts to append a system's record.
	retryInterval = 500 * time.Millisecond
	// recordSize is the size in bytes from which on no further batch is added to a
	// record. The last batch may exceed it.
	recordSize = 512 << 10
)

// LogWriter appends hops, audit entries and the records of systems to the log.
type LogWriter struct {
	config Config
	// writeMutex serialises calls of write and is held while appends are made; mutex
	// guards the state and is not held while the log is called.
	writeMutex sync.Mutex
	mutex      sync.Mutex
	// buffers holds the entries of each buffered stream.
	buffers map[carobstream.Stream]*buffer
	// records holds the newest record of a system for each stream, until the record is
	// appended.
	records map[carobstream.Stream][]byte
	// wake holds one element while there may be something to append.
	wake chan struct{}
}

// NewLogWriter returns a writer that appends nothing until Run is called.
func NewLogWriter(c Config) *LogWriter {
	return &LogWriter{
		config: c,
		buffers: map[carobstream.Stream]*buffer{
			carobstream.Traces: newBuffer(c), carobstream.Audit: newBuffer(c),
		},
		records: map[carobstream.Stream][]byte{},
		wake:    make(chan struct{}, 1),
	}
}

// Execute takes the hops, audit entries and records of a tick for appending. It does
// not wait for the log.
func (w *LogWriter) Execute(out *caroboutbox.Outbox) {
	if len(out.Hops) == 0 && len(out.Audits) == 0 && len(out.RetriedAppends) == 0 {
		return
	}
	w.mutex.Lock()
	for i := range out.Hops {
		w.buffers[carobstream.Traces].add(&out.Hops[i])
	}
	for i := range out.Audits {
		w.audit(&out.Audits[i])
	}
	for _, ap := range out.RetriedAppends {
		w.records[ap.Stream] = ap.Data
	}
	w.mutex.Unlock()
	w.signal()
}

// signal wakes Run. It does not block.
func (w *LogWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// audit logs an audit entry and, unless it is local, adds it to the audit stream.
func (w *LogWriter) audit(entry *carobaudit.Audit) {
	if entry.When.IsZero() {
		entry.When = w.config.Timer.WallTime().UTC()
	}
	w.config.Logger.WithFields(logrus.Fields{
		"part": entry.Component, "who": entry.Who, "what": entry.What, "from": entry.From, "to": entry.To,
	}).Info("audit: changed")
	if !entry.LocalOnly {
		w.buffers[carobstream.Audit].add(entry)
	}
}

// Dropped returns how many hops and audit entries were dropped since the start.
func (w *LogWriter) Dropped() (hops, audits int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.buffers[carobstream.Traces].dropped, w.buffers[carobstream.Audit].dropped
}

// Run appends what is due until ctx is done.
func (w *LogWriter) Run(ctx context.Context) {
	wakeAt := w.config.Timer.Subscribe(w.signal)
	defer wakeAt(carobinstant.Never)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		wakeAt(w.write(ctx, false))
	}
}

// Flush tries once to append the next record of every stream, whether due or not.
func (w *LogWriter) Flush(ctx context.Context) {
	w.write(ctx, true)
}

// write makes the appends that are due, or with all set one append for every stream that
// has entries. It returns when the next append is due, or Never.
func (w *LogWriter) write(ctx context.Context, all bool) carobinstant.Instant {
	w.writeMutex.Lock()
	defer w.writeMutex.Unlock()
	next := w.writeRecords(ctx)
	for stream, entries := range w.buffers {
		w.mutex.Lock()
		now := w.config.Timer.Now()
		due := entries.due(now)
		var data []byte
		if due.Reached(now) || all && due != carobinstant.Never {
			data = entries.nextRecord(now)
			due = now.Add(appendInterval)
		}
		w.mutex.Unlock()
		next = carobinstant.Earlier(next, due)
		if data == nil {
			continue
		}
		_, err := w.config.Log.Append(ctx, stream, data)
		w.mutex.Lock()
		entries.endAppend(err == nil)
		w.mutex.Unlock()
		if err != nil {
			w.config.Logger.WithField("stream", stream).WithError(err).Warn("log: append failed, entries are kept for the next attempt")
		}
	}
	return next
}

// writeRecords appends the records of systems. It returns when to retry those that
// failed, or Never if none did. A newer record of the same stream replaces a failed
// one.
func (w *LogWriter) writeRecords(ctx context.Context) carobinstant.Instant {
	w.mutex.Lock()
	records := w.records
	w.records = map[carobstream.Stream][]byte{}
	w.mutex.Unlock()
	next := carobinstant.Never
	for stream, data := range records {
		if _, err := w.config.Log.Append(ctx, stream, data); err == nil {
			continue
		}
		next = w.config.Timer.Now().Add(retryInterval)
		w.mutex.Lock()
		if _, newer := w.records[stream]; !newer {
			w.records[stream] = data
		}
		w.mutex.Unlock()
	}
	return next
}
