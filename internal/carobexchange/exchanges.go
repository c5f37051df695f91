// Package carobexchange carries out the decisions of the control goroutine on
// calls: it sends their attempts, holds the answers, and sends the result to the
// caller. The front ends receive the calls and encode the results.
package carobexchange

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobdispatcher"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobrequestbody"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// relay sends an attempt to a target's node and returns the answer and the
// target's load report.
type relay interface {
	Do(ctx context.Context, send carobsend.Send, req *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error)
}

// dialect is the HTTP interface of the callers.
type dialect interface {
	// PrepareAttempt sets the headers by which the node describes the call to the target, and
	// removes those that the caller sent in their place. CleanRequest has cleaned the header.
	PrepareAttempt(header *fasthttp.RequestHeader, arrival *carobarrival.Arrival, send *carobsend.Send)
}

// responder sends the result of a call to its caller. Exactly one of its methods
// is called.
type responder interface {
	// SendAnswer streams an answer to the caller. The responder calls abandon if the
	// caller disconnects, and done once the answer was sent or abandoned. The kind
	// is None if the whole answer was sent. stored is the answer to be stored for
	// the call's idempotency key; nil if it is not to be stored.
	SendAnswer(answer *carobanswer.Answer, abandon func(), done func(kind carobkind.Kind, stored *carobstoredanswer.StoredAnswer))
	// SendStored sends the answer that is stored for the call's idempotency key.
	SendStored(stored *carobstoredanswer.StoredAnswer)
	// SendError sends an error. after is the delay after which the caller may retry; if
	// it is 0, the delay of the kind applies.
	SendError(kind carobkind.Kind, after time.Duration, detail string)
}

// Config holds the parameters of Exchanges.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Relay   relay
	Timer   *carobtimer.Timer
	// Dialect is the HTTP interface of the callers.
	Dialect dialect
	// MaxBufferedAnswer is the size in bytes up to which an answer is read completely
	// before it is reported to the control goroutine. If such an answer is cut off, the
	// call can still be retried. 0 means that every answer is streamed.
	MaxBufferedAnswer carobsize.Size
	// AnswerBudget bounds the buffered bytes of all answers; nil means no limit.
	AnswerBudget *carobbytebudget.ByteBudget
}

// Exchanges holds the calls that traffic goroutines are carrying out.
type Exchanges struct {
	config     Config
	dispatcher *carobdispatcher.Dispatcher[carobcallid.ID, order]
}

// order is a decision of the control goroutine on a call. Exactly one field is
// set.
type order struct {
	send       *carobsend.Send
	conclusion *carobconclusion.Conclusion
	// cancel is the number of the attempt to cancel; 0 if the order
	// does not cancel one.
	cancel int
}

// NewExchanges returns Exchanges without calls.
func NewExchanges(c Config) *Exchanges {
	return &Exchanges{config: c, dispatcher: carobdispatcher.NewDispatcher[carobcallid.ID, order]()}
}

// Execute forwards the effects of a tick to the goroutines of the calls.
func (e *Exchanges) Execute(out *caroboutbox.Outbox) {
	for _, send := range out.Sends {
		e.dispatcher.Enqueue(send.Job.Call, order{send: &send})
	}
	for _, job := range out.Cancels {
		e.dispatcher.Enqueue(job.Call, order{cancel: job.Attempt})
	}
	for _, conclusion := range out.Conclusions {
		e.dispatcher.Enqueue(conclusion.Call, order{conclusion: &conclusion})
	}
}

// Run reports a call to the control goroutine and carries it out until its result
// was sent. Every attempt sends the header of req, which must not change meanwhile, and
// the given body.
func (e *Exchanges) Run(arrival carobarrival.Arrival, req *fasthttp.Request, body *carobrequestbody.RequestBody, responder responder) {
	orders := e.dispatcher.Subscribe(arrival.Call)
	defer e.dispatcher.Unsubscribe(arrival.Call)
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, arrival) })
	x := &exchange{
		exchanges: e, arrival: arrival, request: req, body: body, responder: responder, attempts: map[int]*attempt{},
	}
	x.run(orders)
}

// ReportDisconnect reports to the control goroutine that the caller of a call has
// disconnected.
func (e *Exchanges) ReportDisconnect(call carobcallid.ID) {
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Disconnects = append(in.Disconnects, call) })
}
