package carobtracewriter_test

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

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobtracewriter"
	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// fakeLog keeps what is appended, or refuses it while out.
type fakeLog struct {
	mutex   sync.Mutex
	out     bool
	records map[carobstream.Stream][][]byte
	grown   chan carobstream.Stream
}

func newFakeLog() *fakeLog {
	return &fakeLog{records: map[carobstream.Stream][][]byte{}, grown: make(chan carobstream.Stream, 100)}
}

func (l *fakeLog) Append(_ context.Context, stream carobstream.Stream, data []byte) (caroboffset.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.out {
		return 0, carobkind.LogUnavailable
	}
	l.records[stream] = append(l.records[stream], data)
	l.grown <- stream
	return 0, nil
}

func (l *fakeLog) setOut(out bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.out = out
}

// unpack returns the entries of a stream and how many were told lost.
func (l *fakeLog) unpack(t *testing.T, stream carobstream.Stream) (entries, lost int) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, record := range l.records[stream] {
		unpacker, err := gzip.NewReader(bytes.NewReader(record))
		require.NoError(t, err)
		lines := bufio.NewScanner(unpacker)
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

func newTraceWriter(t *testing.T, log *fakeLog) (*carobtracewriter.TraceWriter, *bytes.Buffer) {
	t.Helper()
	var lines bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(io.MultiWriter(&lines))
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	return carobtracewriter.NewTraceWriter(carobtracewriter.Config{
		Self: carobmember.Member{Node: "first", Incarnation: 7}, Log: log, Timer: timer, Logger: logrus.NewEntry(logger), Kept: 512 * carobsize.KiB,
	}), &lines
}

func hops(n int) *caroboutbox.Outbox {
	return &caroboutbox.Outbox{Hops: make([]carobhop.Hop, n)}
}

func TestHopsAndAuditsAreWritten(t *testing.T) {
	log := newFakeLog()
	sc, lines := newTraceWriter(t, log)
	sc.Carry(&caroboutbox.Outbox{
		Hops:   make([]carobhop.Hop, 3),
		Audits: []carobaudit.Audit{{Component: "target", Who: "first", What: "rota/a", From: "ready", To: "leaving"}, {Component: "profile", LocalOnly: true}},
	})
	require.Contains(t, lines.String(), "audit: changed")
	go sc.Run(t.Context())
	seen := map[carobstream.Stream]bool{<-log.grown: true, <-log.grown: true}
	require.True(t, seen[carobstream.Traces] && seen[carobstream.Audit])
	entries, lost := log.unpack(t, carobstream.Traces)
	require.Equal(t, 3, entries)
	require.Zero(t, lost)
	entries, _ = log.unpack(t, carobstream.Audit)
	require.Equal(t, 1, entries, "what the log has already is not written again")
}

func TestManyHopsAreOneAppend(t *testing.T) {
	log := newFakeLog()
	sc, _ := newTraceWriter(t, log)
	for range 50 {
		sc.Carry(hops(100))
	}
	sc.Flush(t.Context())
	require.Len(t, log.records[carobstream.Traces], 1)
	entries, _ := log.unpack(t, carobstream.Traces)
	require.Equal(t, 5000, entries)
}

func TestOutageIsBridged(t *testing.T) {
	log := newFakeLog()
	sc, _ := newTraceWriter(t, log)
	log.setOut(true)
	for range 20 {
		sc.Carry(hops(1000))
		sc.Flush(t.Context())
	}
	log.setOut(false)
	sc.Flush(t.Context())
	entries, lost := log.unpack(t, carobstream.Traces)
	require.Equal(t, 20_000, entries)
	require.Zero(t, lost)
}

// What does not fit is dropped, the oldest first, and counted in the next record.
func TestLossIsBoundedAndCounted(t *testing.T) {
	log := newFakeLog()
	sc, _ := newTraceWriter(t, log)
	log.setOut(true)
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
		sc.Carry(out)
	}
	log.setOut(false)
	sc.Carry(hops(1))
	for range 100 {
		sc.Flush(t.Context())
	}
	dropped, _ := sc.Lost()
	require.Positive(t, dropped)
	entries, lost := log.unpack(t, carobstream.Traces)
	require.Equal(t, all+1, entries+dropped)
	require.Equal(t, dropped, lost)
	for _, record := range log.records[carobstream.Traces] {
		require.Less(t, len(record), 1<<20)
	}
}

func TestOrdersAreRetriedAndTheNewestWins(t *testing.T) {
	log := newFakeLog()
	sc, _ := newTraceWriter(t, log)
	log.setOut(true)
	order := func(data string) *caroboutbox.Outbox {
		return &caroboutbox.Outbox{Appends: []carobappend.Append{{Stream: carobstream.Nodes, Data: []byte(data)}}}
	}
	sc.Carry(order("old"))
	sc.Flush(t.Context())
	sc.Carry(order("new"))
	go sc.Run(t.Context())
	log.setOut(false)
	require.Equal(t, carobstream.Nodes, <-log.grown)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	require.Equal(t, [][]byte{[]byte("new")}, log.records[carobstream.Nodes])
}
