// Package carobfakelog is a stand-in for the platform's append-only log.
package carobfakelog

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/internal/caroblogfault"
	"github.com/carobknot/carobknot/internal/caroblogpage"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config holds the settings of a log.
type Config struct {
	Timer *carobtimer.Timer
	// Retention is the number of records of each stream that are kept; 0 keeps all.
	Retention int
}

// FakeLog keeps streams of records in memory.
type FakeLog struct {
	config Config
	app    *fiber.App
	mutex  sync.Mutex
	// streams has the records of each stream.
	streams map[carobstream.Stream]*stream
	// fault is the fault in force; zero if there is none.
	fault caroblogfault.LogFault
}

// stream is one stream of the log.
type stream struct {
	// records are the records that have not expired, in order of their offsets.
	records []carobrecord.Record
	// nextOffset is the offset of the next record.
	nextOffset caroboffset.Offset
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// NewFakeLog returns an empty log.
func NewFakeLog(c Config) *FakeLog {
	l := &FakeLog{config: c, app: fiber.New(fiber.Config{Immutable: true}), streams: map[carobstream.Stream]*stream{}}
	l.app.Put("/fault", l.setFault)
	l.app.Get("/fault", l.getFault)
	l.app.Use("/streams", l.applyFault)
	l.app.Post("/streams/:name", l.append)
	l.app.Get("/streams/:name", l.read)
	return l
}

// Serve answers requests until Shutdown is called or the listener is closed.
func (l *FakeLog) Serve(listener net.Listener) error {
	return l.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops accepting connections and waits for the requests in progress, until
// ctx is done at the latest.
func (l *FakeLog) Shutdown(ctx context.Context) error {
	return l.app.ShutdownWithContext(ctx)
}

// setFault sets the fault in force to that of the request's body, and applies its
// retention to all streams.
func (l *FakeLog) setFault(c fiber.Ctx) error {
	var fault caroblogfault.LogFault
	if err := carobdocument.NewDocument(carobdocument.Config{FileName: "fault", Data: c.Body()}).Decode(&fault); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	if err := fault.Check(); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	for _, stream := range l.streams {
		l.expire(stream)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (l *FakeLog) getFault(c fiber.Ctx) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return c.JSON(l.fault)
}

// applyFault delays or refuses a request according to the fault in force.
func (l *FakeLog) applyFault(c fiber.Ctx) error {
	l.mutex.Lock()
	fault := l.fault
	l.mutex.Unlock()
	if fault.Delay > 0 {
		_ = l.config.Timer.Wait(c.Context(), fault.Delay.Duration())
	}
	if fault.Outage || fault.ReadOutage && c.Method() == fiber.MethodGet {
		return fiber.NewError(http.StatusServiceUnavailable, "outage")
	}
	return c.Next()
}

// append appends the request's body to a stream and returns its offset. According to
// the fault in force, the record is dropped or the answer is lost.
func (l *FakeLog) append(c fiber.Ctx) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fault.LostAnswers == 0 && l.fault.DroppedAppends > 0 {
		l.fault.DroppedAppends--
		return fiber.NewError(http.StatusGatewayTimeout, "append dropped")
	}
	stream := l.streamOf(carobstream.Stream(c.Params("name")))
	offset := stream.nextOffset
	stream.records = append(stream.records, carobrecord.Record{Offset: offset, Data: append([]byte(nil), c.Body()...)})
	stream.nextOffset++
	l.expire(stream)
	close(stream.appended)
	stream.appended = make(chan struct{})
	if l.fault.LostAnswers > 0 {
		l.fault.LostAnswers--
		return fiber.NewError(http.StatusGatewayTimeout, "answer lost")
	}
	return c.JSON(map[string]caroboffset.Offset{"offset": offset})
}

// expire deletes the oldest records of a stream beyond the retention.
func (l *FakeLog) expire(stream *stream) {
	retention := l.config.Retention
	if l.fault.Retention > 0 {
		retention = l.fault.Retention
	}
	if retention > 0 && len(stream.records) > retention {
		stream.records = slices.Clone(stream.records[len(stream.records)-retention:])
	}
}

// read returns records of a stream from an offset on. If there are none, it waits
// until one is appended or the wait of the query has passed.
func (l *FakeLog) read(c fiber.Ctx) error {
	from, err := strconv.ParseInt(c.Query("from", "0"), 10, 64)
	if err != nil || from < 0 {
		return fiber.NewError(http.StatusBadRequest, "from is not an offset")
	}
	wait, err := strconv.Atoi(c.Query("wait", "0"))
	if err != nil || wait < 0 {
		return fiber.NewError(http.StatusBadRequest, "wait is not a number of milliseconds")
	}
	name := carobstream.Stream(c.Params("name"))
	page, appended := l.page(name, caroboffset.Offset(from))
	if len(page.Records) == 0 && wait > 0 {
		l.waitForAppend(appended, time.Duration(wait)*time.Millisecond)
		page, _ = l.page(name, caroboffset.Offset(from))
	}
	return c.JSON(page)
}

// waitForAppend returns when the channel is closed or the timeout has passed.
func (l *FakeLog) waitForAppend(appended <-chan struct{}, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-appended:
	case <-ctx.Done():
	}
}

// page returns the records of a stream from an offset on, at most maxRecords, and the
// channel that is closed at the stream's next append.
func (l *FakeLog) page(name carobstream.Stream, from caroboffset.Offset) (caroblogpage.LogPage, <-chan struct{}) {
	const maxRecords = 1000
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stream := l.streamOf(name)
	first := stream.nextOffset - caroboffset.Offset(len(stream.records))
	from = max(from, first)
	page := caroblogpage.LogPage{FirstOffset: first, NextOffset: from, Records: []carobrecord.Record{}}
	if from < stream.nextOffset {
		newer := stream.records[from-first:]
		page.Records = append(page.Records, newer[:min(maxRecords, len(newer))]...)
		page.NextOffset = from + caroboffset.Offset(len(page.Records))
	}
	return page, stream.appended
}

// streamOf returns the stream with the given name and creates it if needed.
func (l *FakeLog) streamOf(name carobstream.Stream) *stream {
	entry, ok := l.streams[name]
	if !ok {
		entry = &stream{appended: make(chan struct{})}
		l.streams[name] = entry
	}
	return entry
}
