// Package carobdialectfrontend receives calls in the HTTP dialect of a platform. The
// dialect decodes requests and writes error responses; the control goroutine decides
// where calls go and how they end.
package carobdialectfrontend

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobconnectiontable"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobrequestbody"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// dialect decodes the requests and encodes the errors of a platform.
type dialect interface {
	// ParseArrival returns the fields of a request that the control goroutine needs.
	ParseArrival(req *fasthttp.Request) (carobarrival.Arrival, error)
	// WriteRefusal fills in the response to a call that ended with an error. req is nil
	// if no request could be read. after is the delay after which the caller may retry,
	// or 0.
	WriteRefusal(resp *fasthttp.Response, req *fasthttp.Request, kind carobkind.Kind, after time.Duration, detail string)
}

// Config holds the parameters of a DialectFrontEnd.
type Config struct {
	Node        carobnodeid.ID
	Incarnation carobincarnation.Incarnation
	Limits      caroblimits.Limits
	Dialect     dialect
	Exchanges   *carobexchange.Exchanges
	Timer       *carobtimer.Timer
	// Connections has the callers' connections and their memory; nil means no limit.
	Connections *carobconnectiontable.ConnectionTable
}

// DialectFrontEnd is the server for callers that use the platform's dialect.
type DialectFrontEnd struct {
	config Config
	server *carobserver.Server
	// sequence is the sequence number of the newest call.
	sequence atomic.Uint64
}

// maxPipelined is the maximum number of requests of one connection that run
// concurrently.
const maxPipelined = 32

// NewDialectFrontEnd returns a front end that does not listen yet.
func NewDialectFrontEnd(c Config) *DialectFrontEnd {
	f := &DialectFrontEnd{config: c}
	f.server = carobserver.NewServer(carobserver.Config{
		Handler: f, Timer: c.Timer, MaxHeader: c.Limits.HeaderSize, MaxBody: c.Limits.BodySize,
		HeaderTimeout: c.Limits.HeaderTimeout.Duration(), StallTimeout: c.Limits.StallTimeout.Duration(), IdleTimeout: c.Limits.IdleTimeout.Duration(),
		MaxPipelined: maxPipelined, MaxConnections: c.Limits.Connections, Connections: c.Connections,
	})
	return f
}

// Serve accepts and serves connections until Shutdown.
func (f *DialectFrontEnd) Serve(listener net.Listener) error {
	return f.server.Serve(listener)
}

// Drain makes the server close each connection after its pending answers.
func (f *DialectFrontEnd) Drain() {
	f.server.Drain()
}

// CloseIdle closes the connections of callers that have no request.
func (f *DialectFrontEnd) CloseIdle() {
	f.server.CloseIdle()
}

// Shutdown stops listening and returns when all connections are closed or ctx
// ends. The error is always nil.
func (f *DialectFrontEnd) Shutdown(ctx context.Context) error {
	f.server.Close(ctx)
	return nil
}

// Execute forwards the effects of a tick to the goroutines of the calls.
func (f *DialectFrontEnd) Execute(out *caroboutbox.Outbox) {
	f.config.Exchanges.Execute(out)
}

// Handle runs the call of a request to the end of its answer.
func (f *DialectFrontEnd) Handle(pipelined *carobpipelinedrequest.PipelinedRequest) {
	req := pipelined.Request()
	r := &responder{frontEnd: f, pipelined: pipelined}
	arrival, err := f.config.Dialect.ParseArrival(req)
	if err != nil {
		r.SendError(carobkind.Of(err), 0, err.Error())
		return
	}
	arrival.Call = carobcallid.ID{
		Node: f.config.Node, Incarnation: f.config.Incarnation, Sequence: f.sequence.Add(1),
	}
	bodyConfig := carobrequestbody.Config{}
	if segments := pipelined.Body(); segments != nil {
		bodyConfig.Segments, arrival.Size = segments, carobsize.Size(segments.Size())
	} else {
		bodyConfig.Body, arrival.Size = req.Body(), carobsize.Size(len(req.Body()))
	}
	body, err := carobrequestbody.NewRequestBody(bodyConfig)
	if err != nil {
		r.SendError(carobkind.Of(err), 0, err.Error())
		return
	}
	pipelined.OnDisconnect(func() { f.config.Exchanges.ReportDisconnect(arrival.Call) })
	defer pipelined.OnDisconnect(nil)
	f.config.Exchanges.Run(arrival, req, body, r)
}

// Reject fills in the response to bytes that could not be read as a request.
func (f *DialectFrontEnd) Reject(resp *fasthttp.Response, err error) {
	kind := carobkind.Of(err)
	f.config.Dialect.WriteRefusal(resp, nil, kind, kind.RetryAfter(), err.Error())
}

// responder sends the result of a call to its caller.
type responder struct {
	frontEnd  *DialectFrontEnd
	pipelined *carobpipelinedrequest.PipelinedRequest
}

// SendAnswer streams an answer of a target to the caller. Nothing is stored, because
// no dialect has idempotency keys.
func (r *responder) SendAnswer(answer *carobanswer.Answer, abandon func(), done func(kind carobkind.Kind, stored *carobstoredanswer.StoredAnswer)) {
	r.pipelined.OnDisconnect(abandon)
	carobheader.CleanResponse(&answer.Response.Header)
	done(r.pipelined.SendAnswer(answer), nil)
}

// SendStored is never called, because no dialect has idempotency keys.
func (r *responder) SendStored(*carobstoredanswer.StoredAnswer) {
	r.SendError(carobkind.Repeated, 0, "the answer of the earlier call is not stored")
}

// SendError sends an error. If after is 0, the delay of the kind applies.
func (r *responder) SendError(kind carobkind.Kind, after time.Duration, detail string) {
	resp := &fasthttp.Response{}
	after = cmp.Or(after, kind.RetryAfter())
	r.frontEnd.config.Dialect.WriteRefusal(resp, r.pipelined.Request(), kind, after, detail)
	r.pipelined.SendResponse(resp)
}
