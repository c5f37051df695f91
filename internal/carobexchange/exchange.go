package carobexchange

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobrequestbody"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// exchange is a call in progress. One goroutine applies its orders, and each
// attempt has a goroutine that sends it.
type exchange struct {
	exchanges *Exchanges
	arrival   carobarrival.Arrival
	request   *fasthttp.Request
	responder responder
	// body is the body of the call, which every attempt sends.
	body *carobrequestbody.RequestBody
	// mutex guards answer and cancelled of the attempts.
	mutex sync.Mutex
	// attempts holds the attempts sent so far, by number.
	attempts map[int]*attempt
}

// attempt is an attempt that was sent to a target's node.
type attempt struct {
	cancel context.CancelFunc
	// answer is nil until the header of the target's answer is received.
	answer *carobanswer.Answer
	// cancelled is true if the answer is no longer needed.
	cancelled bool
}

// run applies orders until the call is concluded.
func (x *exchange) run(orders <-chan order) {
	for next := range orders {
		switch {
		case next.send != nil:
			x.send(*next.send)
		case next.cancel != 0:
			x.cancelAttempt(next.cancel)
		default:
			x.conclude(*next.conclusion)
			return
		}
	}
}

// conclude sends the result of the call to the caller. Attempts that are no
// longer needed were cancelled by earlier orders.
func (x *exchange) conclude(conclusion carobconclusion.Conclusion) {
	if conclusion.StoredAnswer != nil {
		x.body.Release()
		x.responder.SendStored(conclusion.StoredAnswer)
		return
	}
	if conclusion.Kind == carobkind.None {
		x.deliver(conclusion.Attempt, conclusion.BodyTimeout)
		return
	}
	x.body.Release()
	detail := "the call ended without an answer"
	senderErr := x.body.SenderError()
	switch {
	case senderErr != nil:
		detail = senderErr.Error() + "; part of the body was sent to a target"
	case x.body.Streamed() && !conclusion.Kind.NotRun():
		detail = "the body was too long to be buffered; it was sent once and can not be sent again"
	case conclusion.Kind.NotRun():
		detail = "no target ran the call"
	}
	x.responder.SendError(conclusion.Kind, conclusion.RetryAfter, detail)
}

// send starts an attempt. Its reply is posted to the control goroutine.
func (x *exchange) send(send carobsend.Send) {
	req := &fasthttp.Request{}
	x.request.Header.CopyTo(&req.Header)
	carobheader.CleanRequest(&req.Header)
	x.exchanges.config.Dialect.PrepareAttempt(&req.Header, &x.arrival, &send)
	if err := x.body.Attach(req); err != nil {
		x.postReply(carobattemptreply.AttemptReply{Job: send.Job, Target: send.Target, Kind: carobkind.Of(err)})
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	current := &attempt{cancel: cancel}
	x.attempts[send.Job.Attempt] = current
	go func() {
		answer, report, err := x.exchanges.config.Relay.Do(ctx, send, req)
		if maxSize := int(x.exchanges.config.MaxBufferedAnswer); answer != nil && maxSize > 0 {
			if bufferErr := answer.Buffer(maxSize, x.exchanges.config.AnswerBudget); bufferErr != nil {
				answer, err = nil, carobkind.Wrap(carobkind.ConnectionLost, bufferErr, "read answer")
			}
		}
		x.setAnswer(current, answer)
		reply := carobattemptreply.AttemptReply{Job: send.Job, Target: send.Target, Kind: carobkind.Of(err), Report: report}
		switch {
		case answer != nil:
			reply.Status = answer.Response.StatusCode()
		case ctx.Err() != nil:
			reply.Kind = carobkind.Cancelled
		}
		x.postReply(reply)
	}()
}

// postReply reports the result of an attempt to the control goroutine.
func (x *exchange) postReply(reply carobattemptreply.AttemptReply) {
	x.exchanges.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.AttemptReplies = append(in.AttemptReplies, reply) })
}

// setAnswer stores the answer of an attempt until it is delivered, or closes it
// if the attempt was cancelled.
func (x *exchange) setAnswer(current *attempt, answer *carobanswer.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	current.answer = answer
	if current.cancelled && answer != nil {
		_ = answer.Body.Close()
	}
}

// cancelAttempt cancels an attempt and closes its answer. It does nothing if the
// attempt was not sent.
func (x *exchange) cancelAttempt(number int) {
	current := x.attempts[number]
	if current == nil {
		return
	}
	current.cancel()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	current.cancelled = true
	if current.answer != nil {
		_ = current.answer.Body.Close()
	}
}

// deliver streams the answer of an attempt to the caller, and reports the end to
// the control goroutine. If the caller disconnects meanwhile, or the target has not sent
// the whole body within bodyTimeout of its first read, the attempt is cancelled. That has no
// effect on a body which is buffered already.
func (x *exchange) deliver(number int, bodyTimeout time.Duration) {
	current := x.attempts[number]
	setTimeout := x.exchanges.config.Timer.Subscribe(current.cancel)
	x.mutex.Lock()
	answer := current.answer
	if bodyTimeout > 0 {
		answer.Body = &timedBody{ReadCloser: answer.Body, start: func() { setTimeout(x.exchanges.config.Timer.Now().Add(bodyTimeout)) }}
	}
	x.mutex.Unlock()
	job := carobjobid.ID{Call: x.arrival.Call, Attempt: number}
	x.responder.SendAnswer(answer, current.cancel, func(kind carobkind.Kind, stored *carobstoredanswer.StoredAnswer) {
		setTimeout(carobinstant.Never)
		current.cancel()
		x.body.Release()
		x.exchanges.config.Mailbox.Post(func(in *carobinbox.Inbox) {
			in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{Job: job, Kind: kind, StoredAnswer: stored})
		})
	})
}
