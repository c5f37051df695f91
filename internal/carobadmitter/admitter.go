// Package carobadmitter moves the bytes of jobs between entry nodes and the
// node's own targets. Whether and when a job starts is decided by the control
// goroutine.
package carobadmitter

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobdispatcher"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobwatch"
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
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// exchanger sends a request to a target and returns the head of its answer.
type exchanger interface {
	Do(cx context.Context, ad carobaddress.Address, rq *fasthttp.Request, careful bool) (*carobanswer.Answer, error)
}

// dialect is how targets are spoken to.
type dialect interface {
	// Ask readies a request for its target.
	Ask(rq *fasthttp.Request, st *carobstart.Start, target carobtargetid.ID)
	// Check fills in a request that asks the target at an address how it is.
	Check(rq *fasthttp.Request, address carobaddress.Address)
	// Identity reads which target answered such a request, and how many slots it has.
	Identity(rs *fasthttp.Response) (carobname.Name, int)
	// Judge reads what an answer says besides: None if it is the target's answer to
	// the call, or why it is not; and the target's load, or nil.
	Judge(rs *fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad)
}

// Config is how an admitter is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	// Targets reaches the node's own targets.
	Targets exchanger
	// Dialect is how the targets are spoken to; nil is the system's own.
	Dialect dialect
	// Gather is the longest answer that is read to its end before it is passed on;
	// 0 if all are passed on as they come.
	Gather carobsize.Size
	// Watch notices entry nodes that hang up.
	Watch *carobwatch.Watch
	Timer *carobtimer.Timer
	// Stall is how long an entry node may send nothing of a body.
	Stall time.Duration
}

// Admitter carries jobs to the node's own targets.
type Admitter struct {
	config     Config
	dispatcher *carobdispatcher.Dispatcher[carobjobid.ID, order]
	// reports has the newest report of each target.
	reports sync.Map
}

// order is what the control goroutine decided on a job.
type order struct {
	// start is nil if the job is refused.
	start *carobstart.Start
	// kind says why the job is refused.
	kind carobkind.Kind
}

// NewAdmitter returns an admitter.
func NewAdmitter(c Config) *Admitter {
	if c.Dialect == nil {
		c.Dialect = native{}
	}
	return &Admitter{config: c, dispatcher: carobdispatcher.NewDispatcher[carobjobid.ID, order]()}
}

// Carry passes on what the control goroutine decided.
func (a *Admitter) Carry(out *caroboutbox.Outbox) {
	for _, rp := range out.Reports {
		a.reports.Store(rp.Target, &rp)
	}
	for _, ck := range out.HealthChecks {
		go a.check(ck)
	}
	for _, rf := range out.Refusals {
		a.dispatcher.Give(rf.Job, order{kind: rf.Kind})
	}
	for _, st := range out.Starts {
		a.dispatcher.Give(st.Job, order{start: &st})
	}
}

// Do offers a job and, once it is started, sends its request to the target.
// Every answer and error comes with the target's newest report.
func (a *Admitter) Do(cx context.Context, of caroboffer.Offer, rq *fasthttp.Request) (*carobanswer.Answer, error) {
	st, err := a.admit(cx, of)
	if err != nil {
		return nil, err
	}
	return a.run(cx, st, rq, of.Target)
}

// admit offers a job and waits until it is started or refused.
func (a *Admitter) admit(cx context.Context, of caroboffer.Offer) (*carobstart.Start, error) {
	orders := a.dispatcher.Open(of.Job)
	defer a.dispatcher.Close(of.Job)
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Offers = append(in.Offers, of) })
	select {
	case <-cx.Done():
		a.finish(carobfinish.Finish{Job: of.Job, Kind: carobkind.Cancelled})
		return nil, carobkind.New(carobkind.Cancelled, "wait for admission")
	case od := <-orders:
		if od.start == nil {
			return nil, carobkind.New(od.kind, "offer refused")
		}
		return od.start, nil
	}
}

// Report returns the newest report of a target, or nil.
func (a *Admitter) Report(target carobtargetid.ID) *carobreport.Report {
	if rp, ok := a.reports.Load(target); ok {
		return rp.(*carobreport.Report) //nolint:forcetypeassert // the map holds nothing else
	}
	return nil
}

// run sends a started job to its target. The job has ended when the target is
// done with it.
func (a *Admitter) run(cx context.Context, st *carobstart.Start, rq *fasthttp.Request, target carobtargetid.ID) (*carobanswer.Answer, error) {
	carobheader.CleanRequest(&rq.Header)
	a.config.Dialect.Ask(rq, st, target)
	an, err := a.config.Targets.Do(cx, st.Address, rq, st.Guarantee != carobguarantee.Idempotent)
	if err != nil {
		a.finish(carobfinish.Finish{Job: st.Job, Kind: carobkind.Of(err)})
		return nil, err
	}
	fn := carobfinish.Finish{Job: st.Job, Status: an.Response.StatusCode()}
	kind, pressure := a.config.Dialect.Judge(an.Response)
	fn.TargetLoad = pressure
	if most := int(a.config.Gather); most > 0 && an.Length <= most {
		if errGather := an.Gather(most); errGather != nil && kind == carobkind.None {
			kind = carobkind.ConnectionLost
		}
	}
	if kind != carobkind.None {
		_ = an.Body.Close()
		fn.Kind = kind
		a.finish(fn)
		return nil, carobkind.New(kind, "the target's answer is not one to the call")
	}
	carobheader.CleanResponse(&an.Response.Header)
	an.Report = a.Report(target)
	an.Body = carobbody.NewBody(carobbody.Config{Stream: an.Body, Length: an.Length, Over: func(kind carobkind.Kind) {
		fn.Kind = kind
		a.finish(fn)
	}})
	return an, nil
}

func (a *Admitter) finish(fn carobfinish.Finish) {
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Finishes = append(in.Finishes, fn) })
}
