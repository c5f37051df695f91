// Package carobrelay carries attempts from the entry to a target's node.
package carobrelay

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// exchanger sends a request to another node and returns the head of its answer.
type exchanger interface {
	Do(cx context.Context, ad carobaddress.Address, rq *fasthttp.Request, careful bool) (*carobanswer.Answer, error)
}

// admitter offers a job to this node's own target.
type admitter interface {
	Do(cx context.Context, of caroboffer.Offer, rq *fasthttp.Request) (*carobanswer.Answer, error)
	Report(target carobtargetid.ID) *carobreport.Report
}

// Config is how a relay is made.
type Config struct {
	// Peers reaches other nodes.
	Peers exchanger
	// Own takes the attempts for this node's own targets.
	Own admitter
}

// Relay carries attempts to targets' nodes, this one included.
type Relay struct {
	config Config
}

// NewRelay returns a relay.
func NewRelay(c Config) *Relay {
	return &Relay{config: c}
}

// Do carries an attempt and returns the head of the answer, or an error of the
// kind that the target's node told. The report may come with either.
func (r *Relay) Do(cx context.Context, sd carobsend.Send, rq *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error) {
	if sd.Traceparent != "" {
		rq.Header.Set(carobheader.Trace, sd.Traceparent)
	}
	if sd.PeerAddress == "" {
		return r.own(cx, sd, rq)
	}
	rq.Header.Set(carobheader.Offer, carobheader.FormatOffer(sd))
	an, err := r.config.Peers.Do(cx, sd.PeerAddress, rq, sd.Guarantee != carobguarantee.Idempotent)
	if err != nil {
		return nil, nil, err
	}
	report := carobheader.ParseReport(sd.Target, string(an.Response.Header.Peek(carobheader.Report)))
	if kind := carobkind.Kind(an.Response.Header.Peek(carobheader.Kind)); kind != carobkind.None {
		_ = an.Body.Close()
		return nil, report, told(kind)
	}
	return an, report, nil
}

// told makes an error of a kind that another node told.
func told(kind carobkind.Kind) error {
	if !kind.Known() {
		return carobkind.New(carobkind.Internal, "another node told an unknown kind of error")
	}
	return carobkind.New(kind, "told by the target's node")
}

func (r *Relay) own(cx context.Context, sd carobsend.Send, rq *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error) {
	of := caroboffer.Offer{
		Job: sd.Job, Target: sd.Target, Incarnation: sd.Incarnation, TimeLeft: sd.TimeLeft, Requirements: sd.Requirements,
		Key: string(rq.Header.Peek(carobheader.Key)), Traceparent: string(rq.Header.Peek(carobheader.Trace)),
	}
	an, err := r.config.Own.Do(cx, of, rq)
	return an, r.config.Own.Report(sd.Target), err
}
