// Package carobfrontend is the HTTP front end for callers. It receives calls and
// sends the answers; the control goroutine decides where calls go and how they
// end.
package carobfrontend

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobdisconnectwatch"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobrequestbody"
	"github.com/carobknot/carobknot/internal/carobtimer"
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

// relay sends an attempt to a target's node and returns the answer and the
// target's load report.
type relay interface {
	Do(ctx context.Context, send carobsend.Send, req *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error)
}

// querier runs a function on the control goroutine and waits for it.
type querier interface {
	Query(ctx context.Context, query func(w *carobworld.World)) error
}

// Config holds the parameters of a FrontEnd.
type Config struct {
	Node            carobnodeid.ID
	Incarnation     carobincarnation.Incarnation
	Limits          caroblimits.Limits
	Mailbox         *carobmailbox.Mailbox
	Relay           relay
	Control         querier
	DisconnectWatch *carobdisconnectwatch.DisconnectWatch
	Timer           *carobtimer.Timer
}

// FrontEnd is the HTTP server for callers.
type FrontEnd struct {
	config    Config
	server    *fasthttp.Server
	exchanges *carobexchange.Exchanges
	// sequence is the sequence number of the newest call.
	sequence atomic.Uint64
	// buffered is the size in bytes that is reserved for the buffered bodies of all
	// calls.
	buffered atomic.Int64
	// conns are the open connections. The HTTP library's server does not know of a stop.
	conns *callerConns
}

// unlimitedBody is the library's limit of a body. It is larger than any body, so
// that the library streams every body and the limit of Config.Limits applies.
const unlimitedBody = math.MaxInt

// NewFrontEnd returns a front end that does not listen yet.
func NewFrontEnd(c Config) *FrontEnd {
	f := &FrontEnd{config: c, exchanges: carobexchange.NewExchanges(carobexchange.Config{
		Mailbox: c.Mailbox, Relay: c.Relay, Timer: c.Timer, Dialect: callerDialect{},
	}), conns: &callerConns{
		timer: c.Timer, limit: c.Limits.Connections, headerTimeout: c.Limits.HeaderTimeout.Duration(),
		open: map[*callerConn]struct{}{}, ended: make(chan struct{}),
	}}
	f.server = &fasthttp.Server{
		Handler:                      f.handle,
		ExpectHandler:                f.handleExpect,
		ErrorHandler:                 f.handleError,
		ReadBufferSize:               int(c.Limits.HeaderSize),
		MaxRequestBodySize:           unlimitedBody,
		ReadTimeout:                  c.Limits.HeaderTimeout.Duration(),
		IdleTimeout:                  c.Limits.IdleTimeout.Duration(),
		WriteTimeout:                 c.Limits.StallTimeout.Duration(),
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		ConnState:                    trackState,
		Logger:                       noLogger{},
	}
	return f
}

// Serve accepts and serves connections until Shutdown.
func (f *FrontEnd) Serve(listener net.Listener) error {
	if !f.conns.listen(listener) {
		return listener.Close()
	}
	return f.server.Serve(&boundedListener{Listener: listener, conns: f.conns})
}

// Drain does nothing: Shutdown closes each connection after its answer.
func (f *FrontEnd) Drain() {}

// Shutdown stops listening, makes each connection close behind its last response, and returns
// when all connections are closed or ctx ends. It may be called again to wait for longer. The
// HTTP library's own shutdown would end a connection without a word if the stop comes after
// the head of its response was sent.
func (f *FrontEnd) Shutdown(ctx context.Context) error {
	f.conns.stop()
	select {
	case <-f.conns.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Execute forwards the effects of a tick to the goroutines of the calls.
func (f *FrontEnd) Execute(out *caroboutbox.Outbox) {
	f.exchanges.Execute(out)
}

// handle handles a call. Its response says that the connection closes if the front end stops,
// since nothing behind it has been read. It is sent at once: without a deadline that the handler
// has set, the HTTP library holds a response back until the next request that it has read
// already is handled as well.
func (f *FrontEnd) handle(ctx *fasthttp.RequestCtx) {
	f.run(ctx)
	if f.conns.isStopping() {
		ctx.SetConnectionClose()
	}
	_ = ctx.SetWriteDeadline(f.writeDeadline())
}

// run runs a call from the received header to the end of its answer.
func (f *FrontEnd) run(ctx *fasthttp.RequestCtx) {
	call := f.newCallID()
	arrivedAt := f.config.Timer.Now()
	arrival, err := parseArrival(call, &ctx.Request.Header)
	if err != nil {
		f.reject(ctx, call, err)
		return
	}
	req := requestWithoutTrailers(&ctx.Request)
	reserved := f.reserveBuffer(ctx, arrival.Service)
	defer f.buffered.Add(-int64(reserved))
	body, err := f.openBody(ctx, reserved)
	if err != nil {
		f.reject(ctx, call, err)
		return
	}
	if arrival.Timeout > 0 {
		// The time left once the body has been read. It is at least 1 ns, because 0
		// means that the caller gave no timeout.
		arrival.Timeout = max(1, arrival.Timeout-f.config.Timer.Now().Sub(arrivedAt))
	}
	arrival.Streamed = body.Streamed()
	defer f.config.DisconnectWatch.Add(ctx.Conn(), func() { f.exchanges.ReportDisconnect(call) })()
	f.exchanges.Run(arrival, req, body, &responder{frontEnd: f, ctx: ctx, call: call, key: arrival.Key})
}

// requestWithoutTrailers returns a request with the header that the attempts of a call send.
// It is called before the body is read: the library adds the trailers behind a body in chunks
// to the header of the request whose body it reads.
func requestWithoutTrailers(req *fasthttp.Request) *fasthttp.Request {
	if req.Header.ContentLength() != carobheader.ChunkedLength {
		return req
	}
	copied := &fasthttp.Request{}
	req.Header.CopyTo(&copied.Header)
	return copied
}

// newCallID returns the ID of the next call of this node.
func (f *FrontEnd) newCallID() carobcallid.ID {
	return carobcallid.ID{Node: f.config.Node, Incarnation: f.config.Incarnation, Sequence: f.sequence.Add(1)}
}

// openBody prepares the body of a call and reads it if it is to be buffered.
func (f *FrontEnd) openBody(ctx *fasthttp.RequestCtx, reserved carobsize.Size) (*carobrequestbody.RequestBody, error) {
	return carobrequestbody.NewRequestBody(carobrequestbody.Config{
		Stream: ctx.RequestBodyStream(), Length: ctx.Request.Header.ContentLength(),
		MaxBuffered: max(reserved, smallBody), MaxSize: f.config.Limits.BodySize,
		Conn: ctx.Conn(), Timer: f.config.Timer, StallTimeout: f.config.Limits.StallTimeout.Duration(),
	})
}

// smallBody is the maximum size of a body that is always buffered. It usually
// arrives together with the header.
const smallBody = 4 * carobsize.KiB

// reserveBuffer reserves memory for the body of a call and returns the reserved
// size in bytes. It returns 0 if the call has no body, if the body is small
// enough to need no reservation, or if it exceeds the limit of the profile or of
// the node and has to be streamed.
func (f *FrontEnd) reserveBuffer(ctx *fasthttp.RequestCtx, service carobservice.Service) carobsize.Size {
	length := carobsize.Size(ctx.Request.Header.ContentLength())
	if ctx.RequestBodyStream() == nil || 0 <= length && length <= smallBody {
		return 0
	}
	size := f.maxBufferedBody(service)
	if length > size {
		return 0
	}
	if length >= 0 {
		size = length
	}
	if f.buffered.Add(int64(size)) > int64(f.config.Limits.TotalBufferedSize) {
		f.buffered.Add(-int64(size))
		return 0
	}
	return size
}

// maxBufferedBody returns the maximum size of a buffered body in the service's
// profile, or 0 if the node has no profile of the service.
func (f *FrontEnd) maxBufferedBody(service carobservice.Service) carobsize.Size {
	var size carobsize.Size
	_ = f.config.Control.Query(context.Background(), func(w *carobworld.World) {
		if profile := w.ProfileOf(service); profile != nil {
			size = profile.BufferedBodyLimit
		}
	})
	return size
}

// handleExpect answers the header "Expect: 100-continue": it returns 100 if the
// caller may send the body, and the status of an error response otherwise.
func (f *FrontEnd) handleExpect(ctx *fasthttp.RequestCtx) int {
	call := f.newCallID()
	_, err := parseArrival(call, &ctx.Request.Header)
	if length := ctx.Request.Header.ContentLength(); err == nil && length > int(f.config.Limits.BodySize) {
		err = carobkind.New(carobkind.TooLarge, "the body is longer than the limit of %s", f.config.Limits.BodySize)
	}
	if err != nil {
		f.reject(ctx, call, err)
		return ctx.Response.StatusCode()
	}
	// The deadline of the response before may have passed.
	_ = ctx.Conn().SetWriteDeadline(f.writeDeadline())
	return fasthttp.StatusContinue
}

// writeDeadline returns until when the caller has to accept bytes that are sent now.
func (f *FrontEnd) writeDeadline() time.Time {
	return f.config.Timer.WallTime().Add(f.config.Limits.StallTimeout.Duration())
}
