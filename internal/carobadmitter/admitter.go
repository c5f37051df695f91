// Package carobadmitter transfers the requests and responses of jobs between entry
// nodes and the node's own targets. The control goroutine decides whether and when
// a job starts.
package carobadmitter

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobdisconnectwatch"
	"github.com/carobknot/carobknot/internal/carobdispatcher"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// exchanger sends a request to a target and returns the response, with its body not
// yet read. nonIdempotent is true if the request must not run twice.
type exchanger interface {
	Do(ctx context.Context, address carobaddress.Address, req *fasthttp.Request, nonIdempotent bool) (*carobanswer.Answer, error)
}

// dialect is the HTTP interface of the targets: which headers requests and responses
// carry.
type dialect interface {
	// PrepareRequest sets the headers of a request that starts a job at a target.
	// CleanRequest has cleaned the header.
	PrepareRequest(req *fasthttp.Request, start *carobstart.Start, target carobtargetid.ID)
	// ResponseHeaders returns the headers of a response that reach the caller even if the
	// response names them as those of the connection.
	ResponseHeaders() []string
	// PrepareHealthCheck fills in a health check of the target at an address.
	PrepareHealthCheck(req *fasthttp.Request, address carobaddress.Address)
	// ParseIdentity returns the name and the number of slots of a target, from its
	// response to a health check.
	ParseIdentity(resp *fasthttp.Response) (carobname.Name, int)
	// Classify classifies a response. The kind is None if the response answers the
	// call, and the reason otherwise, for example that the target refused the call. The
	// load is nil if the response does not report it.
	Classify(resp *fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad)
	// ParseDirective returns what a target's response requests; nil if the response does
	// not show it.
	ParseDirective(resp *fasthttp.Response) *carobtargetdirective.TargetDirective
}

// Config holds the parameters of an admitter.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	// TargetClient sends requests to the node's own targets.
	TargetClient exchanger
	// Dialect is the HTTP interface of the targets; nil means carobknot's own headers.
	Dialect dialect
	// MaxBufferedAnswer is the size of the largest response body that is read to its
	// end before the response is forwarded; 0 means that every response is forwarded as
	// it is received.
	MaxBufferedAnswer carobsize.Size
	// AnswerBudget bounds the buffered bytes of all responses; nil means no limit.
	AnswerBudget *carobbytebudget.ByteBudget
	// DisconnectWatch detects that entry nodes close their connections.
	DisconnectWatch *carobdisconnectwatch.DisconnectWatch
	Timer           *carobtimer.Timer
	// StallTimeout is how long an entry node may send or accept no bytes of a body.
	StallTimeout time.Duration
}

// Admitter runs jobs at the node's own targets.
type Admitter struct {
	config     Config
	dispatcher *carobdispatcher.Dispatcher[carobjobid.ID, decision]
	// reports has the newest report of each target, a *carobreport.Report by
	// carobtargetid.ID.
	reports sync.Map
}

// decision is the control goroutine's decision on a job: to start or to refuse it.
type decision struct {
	// start is nil if the job is refused.
	start *carobstart.Start
	// kind is the reason of a refusal.
	kind carobkind.Kind
}

// NewAdmitter returns an admitter.
func NewAdmitter(c Config) *Admitter {
	if c.Dialect == nil {
		c.Dialect = nativeDialect{}
	}
	return &Admitter{config: c, dispatcher: carobdispatcher.NewDispatcher[carobjobid.ID, decision]()}
}

// Execute carries out the effects of a tick that concern the node's own targets: it
// stores reports, starts health checks, and hands the decisions on jobs to the
// goroutines that wait for them.
func (a *Admitter) Execute(out *caroboutbox.Outbox) {
	for _, report := range out.Reports {
		a.reports.Store(report.Target, &report)
	}
	for _, target := range out.RemovedTargets {
		a.reports.Delete(target)
	}
	for _, check := range out.HealthChecks {
		go a.checkHealth(check)
	}
	for _, refusal := range out.Refusals {
		a.dispatcher.Enqueue(refusal.Job, decision{kind: refusal.Kind})
	}
	for _, start := range out.Starts {
		a.dispatcher.Enqueue(start.Job, decision{start: &start})
	}
}

// Do offers a job to the control goroutine and, once it is started, sends its
// request to the target. The response carries the target's newest report; after an
// error Report returns it.
func (a *Admitter) Do(ctx context.Context, offer caroboffer.Offer, req *fasthttp.Request) (*carobanswer.Answer, error) {
	start, err := a.admit(ctx, offer)
	if err != nil {
		return nil, err
	}
	return a.run(ctx, start, req, offer.Target)
}

// admit offers a job and waits until it is started or refused. The kind of an error
// is that of the refusal, or Cancelled if ctx has ended.
func (a *Admitter) admit(ctx context.Context, offer caroboffer.Offer) (*carobstart.Start, error) {
	decisions := a.dispatcher.Subscribe(offer.Job)
	defer a.dispatcher.Unsubscribe(offer.Job)
	a.config.Mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Offers = append(inbox.Offers, offer) })
	select {
	case <-ctx.Done():
		a.postFinish(carobfinish.Finish{Job: offer.Job, Kind: carobkind.Cancelled})
		return nil, carobkind.New(carobkind.Cancelled, "request cancelled while the job waited for admission")
	case decided := <-decisions:
		if decided.start == nil {
			return nil, carobkind.New(decided.kind, "job refused")
		}
		return decided.start, nil
	}
}

// Report returns the newest report of a target, or nil if there is none.
func (a *Admitter) Report(target carobtargetid.ID) *carobreport.Report {
	if report, ok := a.reports.Load(target); ok {
		return report.(*carobreport.Report) //nolint:forcetypeassert // the map holds no other type
	}
	return nil
}

// run sends the request of a started job to its target. It posts the end of the job
// after an error, and otherwise once the body of the response is closed.
func (a *Admitter) run(ctx context.Context, start *carobstart.Start, req *fasthttp.Request, target carobtargetid.ID) (*carobanswer.Answer, error) {
	carobheader.CleanRequest(&req.Header)
	a.config.Dialect.PrepareRequest(req, start, target)
	answer, err := a.config.TargetClient.Do(ctx, start.Address, req, start.Guarantee != carobguarantee.Idempotent)
	if err != nil {
		a.postFinish(carobfinish.Finish{Job: start.Job, Kind: carobkind.Of(err)})
		return nil, err
	}
	finish := carobfinish.Finish{Job: start.Job, Status: answer.Response.StatusCode()}
	kind, load := a.config.Dialect.Classify(answer.Response)
	finish.TargetLoad = load
	if kind == carobkind.None || kind == carobkind.Shed {
		finish.Directive = a.config.Dialect.ParseDirective(answer.Response)
	}
	if limit := int(a.config.MaxBufferedAnswer); limit > 0 && answer.Length <= limit {
		if errBuffer := answer.Buffer(limit, a.config.AnswerBudget); errBuffer != nil && kind == carobkind.None {
			kind = carobkind.ConnectionLost
		}
	}
	if kind != carobkind.None {
		_ = answer.Body.Close()
		finish.Kind = kind
		a.postFinish(finish)
		return nil, carobkind.New(kind, "target's response does not answer the call")
	}
	carobheader.CleanResponse(&answer.Response.Header, a.config.Dialect.ResponseHeaders()...)
	answer.Report = a.Report(target)
	answer.Body = carobbody.NewBody(carobbody.Config{Stream: answer.Body, Length: answer.Length, OnEnd: func(kind carobkind.Kind) {
		finish.Kind = kind
		a.postFinish(finish)
	}})
	return answer, nil
}

// postFinish posts the end of a job to the control goroutine.
func (a *Admitter) postFinish(finish carobfinish.Finish) {
	a.config.Mailbox.Post(func(inbox *carobinbox.Inbox) { inbox.Finishes = append(inbox.Finishes, finish) })
}
