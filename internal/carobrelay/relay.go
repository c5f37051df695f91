// Package carobrelay sends attempts from the entry node to the target's node.
package carobrelay

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// peerClient sends a request to another node and returns the answer once its
// header is received. runOnce is true if the request must not run twice.
type peerClient interface {
	Do(ctx context.Context, address carobaddress.Address, req *fasthttp.Request, runOnce bool) (*carobanswer.Answer, error)
}

// admitter runs attempts as jobs on this node's own targets.
type admitter interface {
	Do(ctx context.Context, offer caroboffer.Offer, req *fasthttp.Request) (*carobanswer.Answer, error)
	// Report returns the load of a target; nil if there is none.
	Report(target carobtargetid.ID) *carobreport.Report
}

// Config holds the parameters of a Relay.
type Config struct {
	// PeerClient sends requests to other nodes.
	PeerClient peerClient
	// Local runs attempts on this node's own targets.
	Local admitter
}

// Relay sends attempts to the nodes of their targets, including this node.
type Relay struct {
	config Config
}

// NewRelay returns a relay.
func NewRelay(c Config) *Relay {
	return &Relay{config: c}
}

// Do sends an attempt. It returns the answer once its header is received, or an
// error of the kind that the target's node returned. The load report may be
// present with either; nil if there is none.
func (r *Relay) Do(ctx context.Context, send carobsend.Send, req *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error) {
	if send.Traceparent != "" {
		carobheader.Replace(&req.Header, carobheader.TraceContext, send.Traceparent)
	}
	if send.PeerAddress == "" {
		return r.sendLocal(ctx, send, req)
	}
	req.Header.Set(carobheader.Offer, carobheader.FormatOffer(send))
	if send.RateLimit > 0 {
		req.Header.Set(carobheader.RateLimit, send.RateLimit.String())
	}
	answer, err := r.config.PeerClient.Do(ctx, send.PeerAddress, req, send.Guarantee != carobguarantee.Idempotent)
	if err != nil {
		return nil, nil, err
	}
	report := parseReport(send.Target, &answer.Response.Header)
	if kind := carobkind.Kind(answer.Response.Header.Peek(carobheader.ErrorKind)); kind != carobkind.None {
		_ = answer.Body.Close()
		return nil, report, peerError(kind)
	}
	return answer, report, nil
}

// parseReport reads the load report and the rate limit of a target; nil if there is no
// valid report. A malformed limit counts as none.
func parseReport(target carobtargetid.ID, header *fasthttp.ResponseHeader) *carobreport.Report {
	report := carobheader.ParseReport(target, string(header.Peek(carobheader.Report)))
	if limit, err := carobcallrate.ParseLimit(string(header.Peek(carobheader.RateLimit))); err == nil && report != nil {
		report.RateLimit = limit
	}
	return report
}

// peerError returns an error of a kind that another node returned, or of kind
// Internal if the kind is unknown.
func peerError(kind carobkind.Kind) error {
	if !kind.Known() {
		return carobkind.New(carobkind.Internal, "another node returned an unknown error kind")
	}
	return carobkind.New(kind, "returned by the target's node")
}

// sendLocal runs an attempt on a target of this node.
func (r *Relay) sendLocal(ctx context.Context, send carobsend.Send, req *fasthttp.Request) (*carobanswer.Answer, *carobreport.Report, error) {
	offer := caroboffer.Offer{
		Job: send.Job, Target: send.Target, Incarnation: send.Incarnation, TimeLeft: send.TimeLeft, Requirements: send.Requirements,
		RateLimit: send.RateLimit, Traceparent: string(req.Header.Peek(carobheader.TraceContext)),
	}
	answer, err := r.config.Local.Do(ctx, offer, req)
	return answer, r.config.Local.Report(send.Target), err
}
