package carobloader

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
	// grace is how long after its deadline a call still waits for the node's word.
	grace = time.Second
	// inMemory is the longest body that is made and compared at once.
	inMemory = 1 << 20
	decimal  = 10
	// headerSum is where the stand-in for targets tells the checksum of a body.
	headerSum = "X-Sum"
)

// call is one call of the load.
type call struct {
	// at is when the call is meant to be sent.
	at carobinstant.Instant
	// seed makes the call's body, which no other call has.
	seed    uint64
	node    carobaddress.Address
	keyed   bool
	counted bool
}

// send carries out a call and counts how it ended. A load that is stopped still
// waits for its calls.
func (l *Loader) send(cx context.Context, cl call) {
	cx, cancel := context.WithTimeout(context.WithoutCancel(cx), l.config.Deadline+grace)
	defer cancel()
	an, err := l.pool.Do(cx, cl.node, l.request(cl), false)
	if err != nil {
		l.fail(cl, carobkind.Of(err).Outcome(), carobkind.Of(err))
		return
	}
	whole := l.check(cl, an)
	_ = an.Body.Close()
	hd := &an.Response.Header
	outcome := caroboutcome.Outcome(hd.Peek(carobheader.Outcome))
	if l.config.Direct {
		outcome = caroboutcome.Answered
	}
	if outcome != caroboutcome.Answered {
		l.fail(cl, outcome, carobkind.Kind(hd.Peek(carobheader.Kind)))
		return
	}
	if cl.counted {
		l.summary.AddAnswer(l.since(cl), an.Response.StatusCode(), whole)
	}
}

func (l *Loader) fail(cl call, outcome caroboutcome.Outcome, kind carobkind.Kind) {
	if cl.counted {
		l.summary.AddError(l.since(cl), outcome, kind)
	}
}

func (l *Loader) since(cl call) time.Duration {
	return l.config.Timer.Now().Sub(cl.at)
}

func (l *Loader) request(cl call) *fasthttp.Request {
	rq := &fasthttp.Request{}
	rq.Header.SetMethod(fasthttp.MethodPost)
	path := "/load"
	if l.config.Answer > 0 {
		path += "?size=" + strconv.FormatInt(int64(l.config.Answer), decimal) + "&seed=" + strconv.FormatUint(cl.seed, decimal)
	}
	rq.SetRequestURI(path)
	rq.Header.SetHost(string(l.config.Service))
	rq.Header.Set(carobheader.Deadline, strconv.FormatInt(l.config.Deadline.Milliseconds(), decimal))
	if cl.keyed {
		rq.Header.Set(carobheader.Key, "load-"+strconv.FormatUint(cl.seed, decimal))
	}
	if l.config.Size <= inMemory {
		rq.SetBodyRaw(l.sent(cl).Bytes())
	} else {
		rq.SetBodyStream(l.sent(cl), int(l.config.Size))
	}
	return rq
}

// sent returns the body of a call.
func (l *Loader) sent(cl call) *carobpattern.Pattern {
	return carobpattern.NewPattern(carobpattern.Config{Seed: cl.seed, Length: int64(l.config.Size)})
}

// check reads an answer to its end and reports whether it is whole and the
// call's own. An error of the target has no body to compare.
func (l *Loader) check(cl call, an *carobanswer.Answer) bool {
	if an.Response.StatusCode() != fasthttp.StatusOK {
		_, err := io.Copy(io.Discard, an.Body)
		return err == nil
	}
	if l.config.Answer == 0 && l.config.Size <= inMemory {
		got, err := io.ReadAll(an.Body)
		return err == nil && bytes.Equal(got, l.sent(cl).Bytes())
	}
	if !l.arrived(cl, an) {
		return false
	}
	want := carobpattern.NewPattern(carobpattern.Config{Seed: cl.seed, Length: int64(l.config.Answer)})
	got, length, err := carobpattern.Sum(an.Body)
	expected, _, _ := carobpattern.Sum(want)
	return err == nil && length == int64(l.config.Answer) && got == expected
}

// arrived reports whether the target had the whole body.
func (l *Loader) arrived(cl call, an *carobanswer.Answer) bool {
	const hexadecimal = 16
	sum, _, err := carobpattern.Sum(l.sent(cl))
	return err == nil && string(an.Response.Header.Peek(headerSum)) == strconv.FormatUint(sum, hexadecimal)
}
