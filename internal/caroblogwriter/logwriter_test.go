package caroblogwriter_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/caroblogwriter"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobretriedappend"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// fakeLog is a log in memory. While unavailable is set, appends fail.
type fakeLog struct {
	mutex       sync.Mutex
	unavailable bool
	records     map[carobstream.Stream][][]byte
	// appended receives the stream of each record.
	appended chan carobstream.Stream
}

func newFakeLog() *fakeLog {
	return &fakeLog{records: map[carobstream.Stream][][]byte{}, appended: make(chan carobstream.Stream, 100)}
}

func (l *fakeLog) Append(_ context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return 0, carobkind.LogUnavailable
	}
	l.records[stream] = append(l.records[stream], data)
	l.appended <- stream
	return 0, nil
}

func (l *fakeLog) setUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// readEntries returns how many entries the records of a stream hold, and how many
// they report as lost.
func (l *fakeLog) readEntries(t *testing.T, stream carobstream.Stream) (entries, lost int) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, record := range l.records[stream] {
		reader, err := gzip.NewReader(bytes.NewReader(record))
		require.NoError(t, err)
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			var head struct {
				Node          string
				Entries, Lost int
			}
			require.NoError(t, json.Unmarshal(lines.Bytes(), &head))
			require.Equal(t, "first", head.Node)
			for range head.Entries {
				require.True(t, lines.Scan())
				entries++
			}
			lost += head.Lost
		}
	}
	return entries, lost
}

func newWriter(t *testing.T, log *fakeLog) (*caroblogwriter.LogWriter, *bytes.Buffer) {
	t.Helper()
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(io.MultiWriter(&lines))
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	return caroblogwriter.NewLogWriter(caroblogwriter.Config{
		Self: carobmember.Member{Node: "first", Incarnation: 7}, Log: log, Timer: timer, Logger: logrus.NewEntry(logger), MaxBufferedSize: 512 * carobsize.KiB,
	}), &lines
}

func hops(n int) *caroboutbox.Outbox {
	return &caroboutbox.Outbox{Hops: make([]carobhop.Hop, n)}
}

// TestHopsAndAuditEntriesAreAppended guards against hops or audit entries that never
// reach the log, and against local audit entries, which the log has already, being
// appended again.
func TestHopsAndAuditEntriesAreAppended(t *testing.T) {
	log := newFakeLog()
	writer, lines := newWriter(t, log)
	writer.Execute(&caroboutbox.Outbox{
		Hops:   make([]carobhop.Hop, 3),
		Audits: []carobaudit.Audit{{Component: "target", Who: "first", What: "rota/a", From: "ready", To: "leaving"}, {Component: "profile", LocalOnly: true}},
	})
	require.Contains(t, lines.String(), "audit: changed")
	go writer.Run(t.Context())
	seen := map[carobstream.Stream]bool{<-log.appended: true, <-log.appended: true}
	require.True(t, seen[carobstream.Traces] && seen[carobstream.Audit])
	entries, lost := log.readEntries(t, carobstream.Traces)
	require.Equal(t, 3, entries)
	require.Zero(t, lost)
	entries, _ = log.readEntries(t, carobstream.Audit)
	require.Equal(t, 1, entries, "a local audit entry was appended to the log")
}

// TestManyHopsShareOneAppend guards against an append for each tick, which would exceed
// the several hundred appends a second that the log takes from all nodes.
func TestManyHopsShareOneAppend(t *testing.T) {
	log := newFakeLog()
	writer, _ := newWriter(t, log)
	for range 50 {
		writer.Execute(hops(100))
	}
	writer.Flush(t.Context())
	require.Len(t, log.records[carobstream.Traces], 1)
	entries, _ := log.readEntries(t, carobstream.Traces)
	require.Equal(t, 5000, entries)
}

// TestEntriesAreKeptWhileTheLogIsUnavailable guards against the loss of entries, as
// long as they are within the limit, when appends fail.
func TestEntriesAreKeptWhileTheLogIsUnavailable(t *testing.T) {
	log := newFakeLog()
	writer, _ := newWriter(t, log)
	log.setUnavailable(true)
	for range 20 {
		writer.Execute(hops(1000))
		writer.Flush(t.Context())
	}
	log.setUnavailable(false)
	writer.Flush(t.Context())
	entries, lost := log.readEntries(t, carobstream.Traces)
	require.Equal(t, 20_000, entries)
	require.Zero(t, lost)
}

// TestOldestEntriesAreDroppedAndCountedBeyondTheLimit guards against unbounded memory
// while the log is unavailable: entries beyond the limit are dropped, the oldest first,
// and the next record holds their count. The traces are random so that they do not
// compress below the limit.
func TestOldestEntriesAreDroppedAndCountedBeyondTheLimit(t *testing.T) {
	log := newFakeLog()
	writer, _ := newWriter(t, log)
	log.setUnavailable(true)
	const all = 20_000
	random := uint64(1)
	for range all / 1000 {
		out := hops(1000)
		for i := range out.Hops {
			trace := make([]byte, 64)
			for j := range trace {
				random = random*6364136223846793005 + 1442695040888963407
				trace[j] = 'a' + byte(random>>59)
			}
			out.Hops[i].Traceparent = string(trace)
		}
		writer.Execute(out)
	}
	log.setUnavailable(false)
	writer.Execute(hops(1))
	for range 100 {
		writer.Flush(t.Context())
	}
	dropped, _ := writer.Dropped()
	require.Positive(t, dropped)
	entries, lost := log.readEntries(t, carobstream.Traces)
	require.Equal(t, all+1, entries+dropped)
	require.Equal(t, dropped, lost)
	for _, record := range log.records[carobstream.Traces] {
		require.Less(t, len(record), 1<<20)
	}
}

// TestNewestRecordOfAStreamIsRetried guards against a failed append of a system's
// record that is not repeated, and against one that is repeated although a newer record
// has replaced it.
func TestNewestRecordOfAStreamIsRetried(t *testing.T) {
	log := newFakeLog()
	writer, _ := newWriter(t, log)
	log.setUnavailable(true)
	outboxWith := func(data string) *caroboutbox.Outbox {
		return &caroboutbox.Outbox{RetriedAppends: []carobretriedappend.RetriedAppend{{Stream: carobstream.Nodes, Data: []byte(data)}}}
	}
	writer.Execute(outboxWith("old"))
	writer.Flush(t.Context())
	writer.Execute(outboxWith("new"))
	go writer.Run(t.Context())
	log.setUnavailable(false)
	require.Equal(t, carobstream.Nodes, <-log.appended)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	require.Equal(t, [][]byte{[]byte("new")}, log.records[carobstream.Nodes])
}
