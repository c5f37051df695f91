// Package carobentrance is the front end for callers. It moves the bytes of
// calls; where they go and how they end is decided by the control goroutine.
package carobentrance

import (
	"context"
	"math"
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobupload"
	"github.com/carobknot/carobknot/internal/carobwatch"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// relay carries an attempt to a target's node.
type relay interface {
	Do(cx context.Context, sd carobsend.Send, rq *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error)
}

// asker runs a question on the control goroutine.
type asker interface {
	Ask(cx context.Context, question func(w *carobworld.World)) error
}

// Config is how an entrance is made.
type Config struct {
	Node        carobnodeid.ID
	Incarnation carobincarnation.Incarnation
	Limits      caroblimits.Limits
	Mailbox     *carobmailbox.Mailbox
	Relay       relay
	Control     asker
	Watch       *carobwatch.Watch
	Timer       *carobtimer.Timer
}

// Entrance takes calls from callers.
type Entrance struct {
	config    Config
	server    *fasthttp.Server
	exchanges *carobexchange.Exchanges
	// sequence is that of the newest call.
	sequence atomic.Uint64
	// kept is the number of bytes of all bodies that are kept now.
	kept atomic.Int64
}

// maxWholeBody is more than any body has, so that the library streams them all.
const maxWholeBody = math.MaxInt

// NewEntrance returns an entrance that does not listen yet.
func NewEntrance(c Config) *Entrance {
	e := &Entrance{config: c, exchanges: carobexchange.NewExchanges(carobexchange.Config{Mailbox: c.Mailbox, Relay: c.Relay})}
	e.server = &fasthttp.Server{
		Handler:                      e.serve,
		ExpectHandler:                e.expect,
		ErrorHandler:                 e.fail,
		ReadBufferSize:               int(c.Limits.HeaderSize),
		MaxRequestBodySize:           maxWholeBody,
		ReadTimeout:                  c.Limits.HeaderTimeout.Duration(),
		IdleTimeout:                  c.Limits.IdleTimeout.Duration(),
		WriteTimeout:                 c.Limits.StallTimeout.Duration(),
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       silence{},
	}
	return e
}

// Serve answers calls until Shutdown.
func (e *Entrance) Serve(ls net.Listener) error {
	return e.server.Serve(&boundedListener{Listener: ls, timer: e.config.Timer, limit: int64(e.config.Limits.Connections)})
}

// Drain does nothing: Shutdown closes each connection behind its answer.
func (e *Entrance) Drain() {}

// Shutdown stops listening and returns when all connections are closed.
func (e *Entrance) Shutdown(cx context.Context) error {
	return e.server.ShutdownWithContext(cx)
}

// Carry passes on what the control goroutine decided.
func (e *Entrance) Carry(out *caroboutbox.Outbox) {
	e.exchanges.Carry(out)
}

func (e *Entrance) serve(rc *fasthttp.RequestCtx) {
	call := e.newCall()
	came := e.config.Timer.Now()
	ar, err := parseArrival(call, &rc.Request.Header)
	if err != nil {
		e.reject(rc, call, err)
		return
	}
	keep := e.reserve(rc, ar.Service)
	defer e.kept.Add(-int64(keep))
	upload, err := e.open(rc, keep)
	if err != nil {
		e.reject(rc, call, err)
		return
	}
	if ar.Timeout > 0 {
		// What is left of the caller's patience once its body is here. Zero
		// would mean that it gave none.
		ar.Timeout = max(1, ar.Timeout-e.config.Timer.Now().Sub(came))
	}
	ar.Streamed = upload.Streamed()
	defer e.config.Watch.Add(rc.Conn(), func() { e.exchanges.HangUp(call) })()
	e.exchanges.Run(ar, &rc.Request, upload, &caller{entrance: e, ctx: rc, call: call})
}

func (e *Entrance) newCall() carobcallid.ID {
	return carobcallid.ID{Node: e.config.Node, Incarnation: e.config.Incarnation, Sequence: e.sequence.Add(1)}
}

// open reads the body of a call if it is short.
func (e *Entrance) open(rc *fasthttp.RequestCtx, keep carobsize.Size) (*carobupload.Upload, error) {
	return carobupload.NewUpload(carobupload.Config{
		Stream: rc.RequestBodyStream(), Length: rc.Request.Header.ContentLength(),
		Keep: max(keep, small), Limit: e.config.Limits.BodySize,
		Conn: rc.Conn(), Timer: e.config.Timer, Stall: e.config.Limits.StallTimeout.Duration(),
	})
}

// small is the longest body that is always kept. It comes with the header.
const small = 4 * carobsize.KiB

// reserve returns how long a body may be to be kept, and counts it as kept; 0 if
// the body is small anyway or too long.
func (e *Entrance) reserve(rc *fasthttp.RequestCtx, service carobservice.Service) carobsize.Size {
	length := carobsize.Size(rc.Request.Header.ContentLength())
	if rc.RequestBodyStream() == nil || 0 <= length && length <= small {
		return 0
	}
	keep := e.keepOf(service)
	if length > keep {
		return 0
	}
	if length >= 0 {
		keep = length
	}
	if e.kept.Add(int64(keep)) > int64(e.config.Limits.BufferedBodySize) {
		e.kept.Add(-int64(keep))
		return 0
	}
	return keep
}

// keepOf returns the longest body that the service's profile has kept.
func (e *Entrance) keepOf(service carobservice.Service) carobsize.Size {
	var keep carobsize.Size
	_ = e.config.Control.Ask(context.Background(), func(w *carobworld.World) {
		if pf := w.ProfileOf(service); pf != nil {
			keep = pf.BufferedBodyLimit
		}
	})
	return keep
}

// expect decides whether a caller that asks first may send its body.
func (e *Entrance) expect(rc *fasthttp.RequestCtx) int {
	call := e.newCall()
	_, err := parseArrival(call, &rc.Request.Header)
	if length := rc.Request.Header.ContentLength(); err == nil && length > int(e.config.Limits.BodySize) {
		err = carobkind.New(carobkind.TooLarge, "the body is longer than the limit of %s", e.config.Limits.BodySize)
	}
	if err != nil {
		e.reject(rc, call, err)
		return rc.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}
