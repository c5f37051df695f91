// Package carobentrance is the front end for callers. It moves the bytes of
// calls; where they go and how they end is decided by the control goroutine.
package carobentrance

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobdesk"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// relay carries an attempt to a target's node.
type relay interface {
	Do(cx context.Context, sd carobsend.Send, rq *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error)
}

// Config is how an entrance is made.
type Config struct {
	Node        carobnodeid.ID
	Incarnation carobincarnation.Incarnation
	Limits      caroblimits.Limits
	Mailbox     *carobmailbox.Mailbox
	Relay       relay
}

// Entrance takes calls from callers.
type Entrance struct {
	config Config
	server *fasthttp.Server
	desk   *carobdesk.Desk[carobcallid.ID, order]
	// sequence is that of the newest call.
	sequence atomic.Uint64
}

// order is what the control goroutine decided on a call. One field is set.
type order struct {
	send       *carobsend.Send
	conclusion *carobconclusion.Conclusion
	// cancel is the attempt to give up.
	cancel int
}

// NewEntrance returns an entrance that does not listen yet.
func NewEntrance(c Config) *Entrance {
	e := &Entrance{config: c, desk: carobdesk.NewDesk[carobcallid.ID, order]()}
	e.server = &fasthttp.Server{
		Handler:                      e.serve,
		Concurrency:                  c.Limits.Conns,
		ReadBufferSize:               int(c.Limits.Header),
		MaxRequestBodySize:           int(c.Limits.Body),
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
	return e.server.Serve(ls)
}

// Shutdown stops listening and returns when all connections are closed.
func (e *Entrance) Shutdown(cx context.Context) error {
	return e.server.ShutdownWithContext(cx)
}

// Carry passes on what the control goroutine decided.
func (e *Entrance) Carry(out *caroboutbox.Outbox) {
	for _, sd := range out.Sends {
		e.desk.Give(sd.Job.Call, order{send: &sd})
	}
	for _, job := range out.Cancels {
		e.desk.Give(job.Call, order{cancel: job.Attempt})
	}
	for _, cn := range out.Conclusions {
		e.desk.Give(cn.Call, order{conclusion: &cn})
	}
}

func (e *Entrance) serve(rc *fasthttp.RequestCtx) {
	call := carobcallid.ID{Node: e.config.Node, Incarnation: e.config.Incarnation, Sequence: e.sequence.Add(1)}
	ar, err := parseArrival(call, &rc.Request.Header)
	if err != nil {
		refuse(rc, call, carobkind.Of(err), err.Error())
		return
	}
	kept, err := readBody(rc)
	if err != nil {
		refuse(rc, call, carobkind.Of(err), err.Error())
		return
	}
	orders := e.desk.Open(call)
	defer e.desk.Close(call)
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, ar) })
	ex := &exchange{entrance: e, call: call, request: &rc.Request, kept: kept, attempts: map[int]*attempt{}}
	ex.follow(rc, orders)
}

// readBody reads the whole body of a call. A body that is cut short is an error.
func readBody(rc *fasthttp.RequestCtx) ([]byte, error) {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return rc.PostBody(), nil
	}
	kept, err := io.ReadAll(stream)
	if err != nil {
		return nil, carobkind.Wrap(carobkind.Invalid, err, "read body")
	}
	return kept, nil
}

func parseArrival(call carobcallid.ID, hd *fasthttp.RequestHeader) (carobarrival.Arrival, error) {
	ar := carobarrival.Arrival{
		Call: call, Key: string(hd.Peek(carobheader.Key)), Trace: string(hd.Peek(carobheader.Trace)),
	}
	host := string(hd.Host())
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	ar.Service = carobservice.Service(host)
	if err := ar.Service.Check(); err != nil {
		return ar, err
	}
	if text := hd.Peek(carobheader.Deadline); len(text) > 0 {
		ms, err := strconv.Atoi(string(text))
		if err != nil || ms < 1 {
			return ar, carobkind.New(carobkind.Invalid, "%s is not a number of milliseconds above 0", carobheader.Deadline)
		}
		ar.Patience = time.Duration(ms) * time.Millisecond
	}
	return ar, nil
}

// exchange is a call in traffic.
type exchange struct {
	entrance *Entrance
	call     carobcallid.ID
	request  *fasthttp.Request
	// kept is the whole body, for every attempt.
	kept  []byte
	mutex sync.Mutex
	// attempts are those sent so far.
	attempts map[int]*attempt
}

// attempt is one sending of the call.
type attempt struct {
	cancel context.CancelFunc
	// answer is nil until its head is here.
	answer *carobanswer.Answer
	// dropped says that nobody wants the answer.
	dropped bool
}

// follow carries out orders until the call is concluded.
func (x *exchange) follow(rc *fasthttp.RequestCtx, orders <-chan order) {
	for od := range orders {
		switch {
		case od.send != nil:
			x.send(*od.send)
		case od.cancel != 0:
			x.drop(od.cancel)
		case od.conclusion.Kind != carobkind.None:
			refuse(rc, x.call, od.conclusion.Kind, "")
			return
		default:
			x.deliver(rc, od.conclusion.Attempt)
			return
		}
	}
}

func (x *exchange) send(sd carobsend.Send) {
	cx, cancel := context.WithCancel(context.Background())
	at := &attempt{cancel: cancel}
	x.attempts[sd.Job.Attempt] = at
	rq := &fasthttp.Request{}
	x.request.Header.CopyTo(&rq.Header)
	carobheader.CleanRequest(&rq.Header)
	rq.SetRequestURIBytes(x.request.RequestURI())
	rq.Header.SetHostBytes(x.request.Header.Host())
	rq.SetBodyRaw(x.kept)
	go func() {
		an, report, err := x.entrance.config.Relay.Do(cx, sd, rq)
		x.keep(at, an)
		rp := carobreply.Reply{Job: sd.Job, Target: sd.Target, Kind: carobkind.Of(err), Report: report}
		switch {
		case an != nil:
			rp.Status = an.Response.StatusCode()
		case cx.Err() != nil:
			rp.Kind = carobkind.Cancelled
		}
		x.entrance.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Replies = append(in.Replies, rp) })
	}()
}

// keep holds an answer until it is delivered, or closes it if nobody wants it.
func (x *exchange) keep(at *attempt, an *carobanswer.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	at.answer = an
	if at.dropped && an != nil {
		_ = an.Body.Close()
	}
}

// drop gives an attempt up.
func (x *exchange) drop(number int) {
	at := x.attempts[number]
	if at == nil {
		return
	}
	at.cancel()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	at.dropped = true
	if at.answer != nil {
		_ = at.answer.Body.Close()
	}
}

// deliver passes the answer of an attempt on.
func (x *exchange) deliver(rc *fasthttp.RequestCtx, number int) {
	at := x.attempts[number]
	x.mutex.Lock()
	an := at.answer
	x.mutex.Unlock()
	carobheader.CleanResponse(&an.Response.Header)
	an.Response.Header.CopyTo(&rc.Response.Header)
	rc.Response.Header.Set(carobheader.Outcome, string(caroboutcome.Answered))
	rc.Response.Header.Set(carobheader.Call, x.call.String())
	job := carobjobid.ID{Call: x.call, Attempt: number}
	rc.Response.SetBodyStream(carobbody.NewBody(carobbody.Config{Stream: an.Body, Length: an.Length, Over: func(kind carobkind.Kind) {
		at.cancel()
		x.entrance.config.Mailbox.Post(func(in *carobinbox.Inbox) {
			in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{Job: job, Kind: kind})
		})
	}}), an.Length)
}

// refuse answers a caller with an error.
func refuse(rc *fasthttp.RequestCtx, call carobcallid.ID, kind carobkind.Kind, detail string) {
	rc.Response.Reset()
	rc.Response.SetStatusCode(kind.Status())
	rc.Response.Header.Set(carobheader.Outcome, string(kind.Outcome()))
	rc.Response.Header.Set(carobheader.Call, call.String())
	rc.Response.Header.Set(carobheader.Kind, string(kind))
	if retry := kind.Retry(); retry > 0 {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retry/time.Second)))
	}
	rc.Response.SetBodyString(string(kind) + ": " + detail + "\n")
}

// silence drops the HTTP library's own log lines.
type silence struct{}

// Printf drops a line.
func (silence) Printf(string, ...any) {}
