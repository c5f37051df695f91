// Package carobexchange carries out what the control goroutine decides on calls:
// it sends their attempts, holds the answers, and has the caller told the end.
// How callers are spoken to is the front end's matter.
package carobexchange

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobdispatcher"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobupload"
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

// relay carries an attempt to a target's node.
type relay interface {
	Do(cx context.Context, sd carobsend.Send, rq *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error)
}

// caller is told the end of its call, by exactly one of the methods.
type caller interface {
	// Answer passes an answer on. abandon gives the answer up; over is called once
	// the answer was passed on or given up.
	Answer(an *carobanswer.Answer, abandon func(), over func(kind carobkind.Kind, kept *carobstoredanswer.StoredAnswer))
	// Repeat passes on the answer to an earlier call with the same key.
	Repeat(kept *carobstoredanswer.StoredAnswer)
	// Refuse tells an error. A caller may try again after a time, unless it is 0.
	Refuse(kind carobkind.Kind, after time.Duration, detail string)
}

// Config is how exchanges are made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	Relay   relay
	// Gather is the longest answer that is read to its end before its call is told
	// to have one; 0 if all are passed on as they come.
	Gather carobsize.Size
}

// Exchanges are the calls in traffic.
type Exchanges struct {
	config     Config
	dispatcher *carobdispatcher.Dispatcher[carobcallid.ID, order]
}

// order is what the control goroutine decided on a call. One field is set.
type order struct {
	send       *carobsend.Send
	conclusion *carobconclusion.Conclusion
	// cancel is the attempt to give up.
	cancel int
}

// NewExchanges returns exchanges without calls.
func NewExchanges(c Config) *Exchanges {
	return &Exchanges{config: c, dispatcher: carobdispatcher.NewDispatcher[carobcallid.ID, order]()}
}

// Carry passes on what the control goroutine decided.
func (e *Exchanges) Carry(out *caroboutbox.Outbox) {
	for _, sd := range out.Sends {
		e.dispatcher.Give(sd.Job.Call, order{send: &sd})
	}
	for _, job := range out.Cancels {
		e.dispatcher.Give(job.Call, order{cancel: job.Attempt})
	}
	for _, cn := range out.Conclusions {
		e.dispatcher.Give(cn.Call, order{conclusion: &cn})
	}
}

// Run takes a call through to its end. The request's header goes with every
// attempt, and the upload is its body.
func (e *Exchanges) Run(ar carobarrival.Arrival, rq *fasthttp.Request, upload *carobupload.Upload, cr caller) {
	orders := e.dispatcher.Open(ar.Call)
	defer e.dispatcher.Close(ar.Call)
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Arrivals = append(in.Arrivals, ar) })
	x := &exchange{
		exchanges: e, call: ar.Call, request: rq, upload: upload, caller: cr, attempts: map[int]*attempt{},
	}
	x.follow(orders)
}

// HangUp gives up a call whose caller is gone.
func (e *Exchanges) HangUp(call carobcallid.ID) {
	e.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Disconnects = append(in.Disconnects, call) })
}
