package carobloadgenerator

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobpattern"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
)

const (
	// answerGrace is how long after its deadline a call still waits for the node's
	// answer, which gives the outcome of the call.
	answerGrace = time.Second
	// maxInMemory is the length in bytes of the longest body that is held in memory and
	// compared byte by byte. Longer bodies are streamed.
	maxInMemory = 1 << 20
	decimal     = 10
	// headerSum is the header in which carobfaketarget returns the checksum of the
	// request's body, in hexadecimal.
	headerSum = "X-Sum"
)

// call is one call of the load.
type call struct {
	// scheduledAt is when the call should be sent.
	scheduledAt carobinstant.Instant
	// seed determines the body and the idempotency key. Seeds are drawn at random, so
	// that no two calls have the same body.
	seed uint64
	node carobaddress.Address
	// keyed is true if the call has an idempotency key.
	keyed bool
	// counted is false for calls that are scheduled during Config.Warmup.
	counted bool
}

// send sends a call and counts its result. It ignores the end of the context: a
// load that is stopped still waits for the calls in progress.
func (g *LoadGenerator) send(ctx context.Context, call call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.config.Deadline+answerGrace)
	defer cancel()
	answer, err := g.pool.Do(ctx, call.node, g.request(call), false)
	if err != nil {
		g.addError(call, carobkind.Of(err).Outcome(), carobkind.Of(err))
		return
	}
	correct := g.verify(call, answer)
	_ = answer.Body.Close()
	header := &answer.Response.Header
	outcome := caroboutcome.Outcome(header.Peek(carobheader.Outcome))
	if g.config.Direct {
		outcome = caroboutcome.Answered
	}
	if outcome != caroboutcome.Answered {
		g.addError(call, outcome, carobkind.Kind(header.Peek(carobheader.ErrorKind)))
		return
	}
	if call.counted {
		g.summary.AddAnswer(g.elapsed(call), answer.Response.StatusCode(), correct)
	}
}

func (g *LoadGenerator) addError(call call, outcome caroboutcome.Outcome, kind carobkind.Kind) {
	if call.counted {
		g.summary.AddError(g.elapsed(call), outcome, kind)
	}
}

// elapsed returns the time since the call should have been sent.
func (g *LoadGenerator) elapsed(call call) time.Duration {
	return g.config.Timer.Now().Sub(call.scheduledAt)
}

func (g *LoadGenerator) request(call call) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	path := "/load"
	if g.config.AnswerSize > 0 {
		path += "?size=" + strconv.FormatInt(int64(g.config.AnswerSize), decimal) + "&seed=" + strconv.FormatUint(call.seed, decimal)
	}
	req.SetRequestURI(path)
	req.Header.SetHost(string(g.config.Service))
	req.Header.Set(carobheader.Deadline, strconv.FormatInt(g.config.Deadline.Milliseconds(), decimal))
	if call.keyed {
		req.Header.Set(carobheader.IdempotencyKey, "load-"+strconv.FormatUint(call.seed, decimal))
	}
	if g.config.RequestSize <= maxInMemory {
		req.SetBodyRaw(g.requestBody(call).Bytes())
	} else {
		req.SetBodyStream(g.requestBody(call), int(g.config.RequestSize))
	}
	return req
}

// requestBody returns the body of a call.
func (g *LoadGenerator) requestBody(call call) *carobpattern.Pattern {
	return carobpattern.NewPattern(carobpattern.Config{Seed: call.seed, Length: int64(g.config.RequestSize)})
}

// verify reads an answer to its end and reports whether it is complete and belongs
// to the call. An error of the target has no body to compare.
func (g *LoadGenerator) verify(call call, answer *carobanswer.Answer) bool {
	if answer.Response.StatusCode() != fasthttp.StatusOK {
		_, err := io.Copy(io.Discard, answer.Body)
		return err == nil
	}
	if g.config.AnswerSize == 0 && g.config.RequestSize <= maxInMemory {
		got, err := io.ReadAll(answer.Body)
		return err == nil && bytes.Equal(got, g.requestBody(call).Bytes())
	}
	if !g.uploadIntact(call, answer) {
		return false
	}
	want := carobpattern.NewPattern(carobpattern.Config{Seed: call.seed, Length: int64(g.config.AnswerSize)})
	got, length, err := carobpattern.Checksum(answer.Body)
	expected, _, _ := carobpattern.Checksum(want)
	return err == nil && length == int64(g.config.AnswerSize) && got == expected
}

// uploadIntact reports whether the target received the whole body, by the checksum
// that it returned.
func (g *LoadGenerator) uploadIntact(call call, answer *carobanswer.Answer) bool {
	const hexadecimal = 16
	sum, _, err := carobpattern.Checksum(g.requestBody(call))
	return err == nil && string(answer.Response.Header.Peek(headerSum)) == strconv.FormatUint(sum, hexadecimal)
}
