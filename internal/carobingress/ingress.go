// Package carobingress takes calls whose front end is a dialect: it moves the
// bytes, the dialect reads and writes their headers, and the control goroutine
// decides.
package carobingress

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobexchange"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobupload"
	"github.com/carobknot/carobknot/internal/carobvisit"
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

// dialect is how callers are spoken to.
type dialect interface {
	// Arrival reads what is decided by from a request, and leaves in its header what
	// goes on to the target.
	Arrival(rq *fasthttp.Request) (carobarrival.Arrival, error)
	// Refuse fills in the answer to a call that ended with an error. rq is nil if
	// there was none to read.
	Refuse(rs *fasthttp.Response, rq *fasthttp.Request, kind carobkind.Kind, after time.Duration, detail string)
}

// Config is how an ingress is made.
type Config struct {
	Node        carobnodeid.ID
	Incarnation carobincarnation.Incarnation
	Limits      caroblimits.Limits
	Dialect     dialect
	Exchanges   *carobexchange.Exchanges
	Timer       *carobtimer.Timer
}

// Ingress takes calls from callers.
type Ingress struct {
	config Config
	server *carobserver.Server
	// sequence is that of the newest call.
	sequence atomic.Uint64
	// kept is the number of bytes of all bodies that are held now.
	kept atomic.Int64
}

// pipelined is the most requests of one connection that run at once.
const pipelined = 32

// NewIngress returns an ingress that does not listen yet.
func NewIngress(c Config) *Ingress {
	i := &Ingress{config: c}
	i.server = carobserver.NewServer(carobserver.Config{
		Handler: i, Timer: c.Timer, Header: c.Limits.HeaderSize, Body: c.Limits.BodySize,
		Head: c.Limits.HeaderTimeout.Duration(), Stall: c.Limits.StallTimeout.Duration(), Idle: c.Limits.IdleTimeout.Duration(),
		Most: pipelined,
	})
	return i
}

// Serve answers calls until Shutdown.
func (i *Ingress) Serve(ls net.Listener) error {
	return i.server.Serve(ls)
}

// Drain has connections closed behind their answers.
func (i *Ingress) Drain() {
	i.server.Drain()
}

// Shutdown stops listening and returns when all connections are closed.
func (i *Ingress) Shutdown(cx context.Context) error {
	i.server.Close(cx)
	return nil
}

// Carry passes on what the control goroutine decided.
func (i *Ingress) Carry(out *caroboutbox.Outbox) {
	i.config.Exchanges.Carry(out)
}

// Handle takes a call through to its end.
func (i *Ingress) Handle(v *carobvisit.Visit) {
	rq := v.Request()
	c := &caller{ingress: i, visit: v}
	ar, err := i.config.Dialect.Arrival(rq)
	if err != nil {
		c.Refuse(carobkind.Of(err), 0, err.Error())
		return
	}
	held := int64(len(rq.Body()))
	defer i.kept.Add(-held)
	if i.kept.Add(held) > int64(i.config.Limits.BufferedBodySize) {
		c.Refuse(carobkind.Busy, carobkind.Busy.RetryAfter(), "too many bodies are on their way")
		return
	}
	ar.Call = carobcallid.ID{
		Node: i.config.Node, Incarnation: i.config.Incarnation, Sequence: i.sequence.Add(1),
	}
	ar.Size = carobsize.Size(held)
	upload, err := carobupload.NewUpload(carobupload.Config{Whole: rq.Body()})
	if err != nil {
		c.Refuse(carobkind.Of(err), 0, err.Error())
		return
	}
	v.Notify(func() { i.config.Exchanges.HangUp(ar.Call) })
	defer v.Notify(nil)
	i.config.Exchanges.Run(ar, rq, upload, c)
}

// Reject fills in the answer to what is no request.
func (i *Ingress) Reject(rs *fasthttp.Response, err error) {
	i.config.Dialect.Refuse(rs, nil, carobkind.Of(err), 0, err.Error())
}

// caller tells a caller the end of its call.
type caller struct {
	ingress *Ingress
	visit   *carobvisit.Visit
}

// Answer passes an answer on.
func (c *caller) Answer(an *carobanswer.Answer, abandon func(), over func(kind carobkind.Kind, kept *carobstoredanswer.StoredAnswer)) {
	c.visit.Notify(abandon)
	carobheader.CleanResponse(&an.Response.Header)
	over(c.visit.Pass(an), nil)
}

// Repeat does not happen: no dialect has keys.
func (c *caller) Repeat(*carobstoredanswer.StoredAnswer) {
	c.Refuse(carobkind.Repeated, 0, "the answer is not kept")
}

// Refuse tells an error.
func (c *caller) Refuse(kind carobkind.Kind, after time.Duration, detail string) {
	rs := &fasthttp.Response{}
	after = cmp.Or(after, kind.RetryAfter())
	c.ingress.config.Dialect.Refuse(rs, c.visit.Request(), kind, after, detail)
	c.visit.Reply(rs)
}
