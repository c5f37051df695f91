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
func (l *LoadGenerator) send(ctx context.Context, call call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.config.Deadline+answerGrace)
	defer cancel()
	answer, err := l.pool.Do(ctx, call.node, l.request(call), false)
	if err != nil {
		l.addError(call, carobkind.Of(err).Outcome(), carobkind.Of(err))
		return
	}
	correct := l.verify(call, answer)
	_ = answer.Body.Close()
	header := &answer.Response.Header
	outcome := caroboutcome.Outcome(header.Peek(carobheader.Outcome))
	if l.config.Direct {
		outcome = caroboutcome.Answered
	}
	if outcome != caroboutcome.Answered {
		l.addError(call, outcome, carobkind.Kind(header.Peek(carobheader.ErrorKind)))
		return
	}
	if call.counted {
		l.summary.AddAnswer(l.elapsed(call), answer.Response.StatusCode(), correct)
	}
}

func (l *LoadGenerator) addError(call call, outcome caroboutcome.Outcome, kind carobkind.Kind) {
	if call.counted {
		l.summary.AddError(l.elapsed(call), outcome, kind)
	}
}

// elapsed returns the time since the call should have been sent.
func (l *LoadGenerator) elapsed(call call) time.Duration {
	return l.config.Timer.Now().Sub(call.scheduledAt)
}

func (l *LoadGenerator) request(call call) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	path := "/load"
	if l.config.AnswerSize > 0 {
		path += "?size=" + strconv.FormatInt(int64(l.config.AnswerSize), decimal) + "&seed=" + strconv.FormatUint(call.seed, decimal)
	}
	req.SetRequestURI(path)
	req.Header.SetHost(string(l.config.Service))
	req.Header.Set(carobheader.Deadline, strconv.FormatInt(l.config.Deadline.Milliseconds(), decimal))
	if call.keyed {
		req.Header.Set(carobheader.IdempotencyKey, "load-"+strconv.FormatUint(call.seed, decimal))
	}
	if l.config.RequestSize <= maxInMemory {
		req.SetBodyRaw(l.requestBody(call).Bytes())
	} else {
		req.SetBodyStream(l.requestBody(call), int(l.config.RequestSize))
	}
	return req
}

// requestBody returns the body of a call.
func (l *LoadGenerator) requestBody(call call) *carobpattern.Pattern {
	return carobpattern.NewPattern(carobpattern.Config{Seed: call.seed, Length: int64(l.config.RequestSize)})
}

// verify reads an answer to its end and reports whether it is complete and belongs
// to the call. An error of the target has no body to compare.
func (l *LoadGenerator) verify(call call, answer *carobanswer.Answer) bool {
	if answer.Response.StatusCode() != fasthttp.StatusOK {
		_, err := io.Copy(io.Discard, answer.Body)
		return err == nil
	}
	if l.config.AnswerSize == 0 && l.config.RequestSize <= maxInMemory {
		got, err := io.ReadAll(answer.Body)
		return err == nil && bytes.Equal(got, l.requestBody(call).Bytes())
	}
	if !l.uploadIntact(call, answer) {
		return false
	}
	want := carobpattern.NewPattern(carobpattern.Config{Seed: call.seed, Length: int64(l.config.AnswerSize)})
	got, length, err := carobpattern.Checksum(answer.Body)
	expected, _, _ := carobpattern.Checksum(want)
	return err == nil && length == int64(l.config.AnswerSize) && got == expected
}

// uploadIntact reports whether the target received the whole body, by the checksum
// that it returned.
func (l *LoadGenerator) uploadIntact(call call, answer *carobanswer.Answer) bool {
	const hexadecimal = 16
	sum, _, err := carobpattern.Checksum(l.requestBody(call))
	return err == nil && string(answer.Response.Header.Peek(headerSum)) == strconv.FormatUint(sum, hexadecimal)
}
