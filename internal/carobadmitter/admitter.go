// Package carobadmitter moves the bytes of jobs between entry nodes and the
// node's own targets. Whether and when a job starts is decided by the control
// goroutine.
package carobadmitter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobdesk"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobmailbox"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobwatch"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// exchanger sends a request to a target and returns the head of its answer.
type exchanger interface {
	Do(cx context.Context, ad carobaddress.Address, rq *fasthttp.Request) (*carobanswer.Answer, error)
}

// Config is how an admitter is made.
type Config struct {
	Mailbox *carobmailbox.Mailbox
	// Targets reaches the node's own targets.
	Targets exchanger
	// Watch notices entry nodes that hang up.
	Watch *carobwatch.Watch
	Timer *carobtimer.Timer
	// Stall is how long an entry node may send nothing of a body.
	Stall time.Duration
}

// Admitter carries jobs to the node's own targets.
type Admitter struct {
	config Config
	desk   *carobdesk.Desk[carobjobid.ID, order]
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
	return &Admitter{config: c, desk: carobdesk.NewDesk[carobjobid.ID, order]()}
}

// Carry passes on what the control goroutine decided.
func (a *Admitter) Carry(out *caroboutbox.Outbox) {
	for _, rp := range out.Reports {
		a.reports.Store(rp.Target, &rp)
	}
	for _, rf := range out.Refusals {
		a.desk.Give(rf.Job, order{kind: rf.Kind})
	}
	for _, st := range out.Starts {
		a.desk.Give(st.Job, order{start: &st})
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
	orders := a.desk.Open(of.Job)
	defer a.desk.Close(of.Job)
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Offers = append(in.Offers, of) })
	select {
	case <-cx.Done():
		a.finish(of.Job, carobkind.Cancelled, 0)
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

func (a *Admitter) run(cx context.Context, st *carobstart.Start, rq *fasthttp.Request, target carobtargetid.ID) (*carobanswer.Answer, error) {
	carobheader.CleanRequest(&rq.Header)
	rq.Header.Set(carobheader.Deadline, strconv.FormatInt(max(1, int64(st.Patience/time.Millisecond)), 10))
	rq.Header.Set(carobheader.Call, st.Job.Call.String())
	if st.Trace != "" {
		rq.Header.Set(carobheader.Trace, st.Trace)
	}
	an, err := a.config.Targets.Do(cx, st.Address, rq)
	if err != nil {
		a.finish(st.Job, carobkind.Of(err), 0)
		return nil, err
	}
	carobheader.CleanResponse(&an.Response.Header)
	an.Report = a.Report(target)
	status := an.Response.StatusCode()
	an.Body = carobbody.NewBody(carobbody.Config{Stream: an.Body, Length: an.Length, Over: func(kind carobkind.Kind) {
		a.finish(st.Job, kind, status)
	}})
	return an, nil
}

func (a *Admitter) finish(job carobjobid.ID, kind carobkind.Kind, status int) {
	a.config.Mailbox.Post(func(in *carobinbox.Inbox) {
		in.Finishes = append(in.Finishes, carobfinish.Finish{Job: job, Kind: kind, Status: status})
	})
}
