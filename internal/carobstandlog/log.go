// Package carobstandlog is a stand-in for the platform's append-only log.
package carobstandlog

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
	"github.com/carobknot/carobknot/internal/carobfault"
	"github.com/carobknot/carobknot/internal/carobpage"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Config is how a log is made.
type Config struct {
	Timer *carobtimer.Timer
	// Retention is how many records of each stream are kept; 0 keeps all.
	Retention int
}

// Log keeps streams of records in memory.
type Log struct {
	config Config
	app    *fiber.App
	mutex  sync.Mutex
	// streams has the records of each stream.
	streams map[carobstream.Stream]*stream
	// fault is how the log misbehaves at present.
	fault carobfault.Fault
}

type stream struct {
	records []carobrecord.Record
	next    caroboffset.Offset
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewLog returns an empty log.
func NewLog(c Config) *Log {
	l := &Log{config: c, app: fiber.New(fiber.Config{Immutable: true}), streams: map[carobstream.Stream]*stream{}}
	l.app.Put("/fault", l.setFault)
	l.app.Get("/fault", l.getFault)
	l.app.Use("/streams", l.misbehave)
	l.app.Post("/streams/:name", l.append)
	l.app.Get("/streams/:name", l.read)
	return l
}

// Serve answers until Shutdown.
func (l *Log) Serve(ls net.Listener) error {
	return l.app.Listener(ls, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops answering.
func (l *Log) Shutdown(cx context.Context) error {
	return l.app.ShutdownWithContext(cx)
}

// setFault takes a command: how the log misbehaves from now on.
func (l *Log) setFault(c fiber.Ctx) error {
	var f carobfault.Fault
	if err := carobdocument.NewDocument(carobdocument.Config{Name: "fault", Data: c.Body()}).Decode(&f); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	if err := f.Check(); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = f
	for _, st := range l.streams {
		l.expire(st)
	}
	return c.SendStatus(http.StatusNoContent)
}

func (l *Log) getFault(c fiber.Ctx) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return c.JSON(l.fault)
}

// misbehave refuses or delays a request as commanded.
func (l *Log) misbehave(c fiber.Ctx) error {
	l.mutex.Lock()
	f := l.fault
	l.mutex.Unlock()
	if f.Slow > 0 {
		_ = l.config.Timer.Wait(c.Context(), f.Slow.Duration())
	}
	if f.Out || f.Deaf && c.Method() == fiber.MethodGet {
		return fiber.NewError(http.StatusServiceUnavailable, "outage")
	}
	return c.Next()
}

func (l *Log) append(c fiber.Ctx) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fault.Lose == 0 && l.fault.Drop > 0 {
		l.fault.Drop--
		return fiber.NewError(http.StatusGatewayTimeout, "append dropped")
	}
	st := l.streamOf(carobstream.Stream(c.Params("name")))
	offset := st.next
	st.records = append(st.records, carobrecord.Record{Offset: offset, Data: append([]byte(nil), c.Body()...)})
	st.next++
	l.expire(st)
	close(st.grown)
	st.grown = make(chan struct{})
	if l.fault.Lose > 0 {
		l.fault.Lose--
		return fiber.NewError(http.StatusGatewayTimeout, "answer lost")
	}
	return c.JSON(map[string]caroboffset.Offset{"offset": offset})
}

// expire drops the records that are not kept any more.
func (l *Log) expire(st *stream) {
	keep := l.config.Retention
	if l.fault.Keep > 0 {
		keep = l.fault.Keep
	}
	if keep > 0 && len(st.records) > keep {
		st.records = slices.Clone(st.records[len(st.records)-keep:])
	}
}

func (l *Log) read(c fiber.Ctx) error {
	from, err := strconv.ParseInt(c.Query("from", "0"), 10, 64)
	if err != nil || from < 0 {
		return fiber.NewError(http.StatusBadRequest, "from is not an offset")
	}
	wait, err := strconv.Atoi(c.Query("wait", "0"))
	if err != nil || wait < 0 {
		return fiber.NewError(http.StatusBadRequest, "wait is not a number of milliseconds")
	}
	name := carobstream.Stream(c.Params("name"))
	pg, grown := l.page(name, caroboffset.Offset(from))
	if len(pg.Records) == 0 && wait > 0 {
		l.await(grown, time.Duration(wait)*time.Millisecond)
		pg, _ = l.page(name, caroboffset.Offset(from))
	}
	return c.JSON(pg)
}

// await returns when the stream has grown or d has passed.
func (l *Log) await(grown <-chan struct{}, d time.Duration) {
	cx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	select {
	case <-grown:
	case <-cx.Done():
	}
}

func (l *Log) page(name carobstream.Stream, from caroboffset.Offset) (carobpage.Page, <-chan struct{}) {
	const most = 1000
	l.mutex.Lock()
	defer l.mutex.Unlock()
	st := l.streamOf(name)
	first := st.next - caroboffset.Offset(len(st.records))
	from = max(from, first)
	pg := carobpage.Page{First: first, Next: from, Records: []carobrecord.Record{}}
	if from < st.next {
		rest := st.records[from-first:]
		pg.Records = append(pg.Records, rest[:min(most, len(rest))]...)
		pg.Next = from + caroboffset.Offset(len(pg.Records))
	}
	return pg, st.grown
}

func (l *Log) streamOf(name carobstream.Stream) *stream {
	st, ok := l.streams[name]
	if !ok {
		st = &stream{grown: make(chan struct{})}
		l.streams[name] = st
	}
	return st
}
