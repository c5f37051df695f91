package carobfaketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobpattern"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Paths of requests that are not calls: the record, its totals, and the behaviour.
const (
	pathRuns      = "/_runs"
	pathTotals    = "/_totals"
	pathBehaviour = "/_behaviour"
)

// Headers of answers.
const (
	// headerTarget names the target that ran the call.
	headerTarget = "X-Target"
	// headerSum is the checksum of the request's body in hexadecimal, headerLength its
	// length in bytes.
	headerSum    = "X-Sum"
	headerLength = "X-Length"
)

const (
	// uploadSize is the length in bytes from which a body counts as an upload.
	uploadSize = 32 << 10
	// maxEcho is the length in bytes of the longest body that is returned to the
	// caller.
	maxEcho = 1 << 20
	// pollInterval is the time between checks whether a caller has closed its
	// connection.
	pollInterval = 5 * time.Millisecond
	// failTime is the service time of calls under the fault Fail.
	failTime = 100 * time.Microsecond
)

// serve handles all requests; those on other paths than the listed ones are calls.
func (t *FakeTarget) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathRuns:
		t.answerJSON(ctx, func() any { return &t.record })
	case pathTotals:
		t.answerJSON(ctx, func() any { return &t.record.Totals })
	case pathBehaviour:
		t.serveBehaviour(ctx)
	default:
		t.serveCall(ctx)
	}
}

// serveBehaviour returns the behaviour. For any method but GET, it first applies the
// change in the request's body.
func (t *FakeTarget) serveBehaviour(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		body, err := io.ReadAll(bodyOf(ctx))
		if err != nil {
			ctx.Error(err.Error(), http.StatusBadRequest)
			return
		}
		if err := t.changeBehaviour(body); err != nil {
			ctx.Error(err.Error(), http.StatusBadRequest)
			return
		}
	}
	t.answerJSON(ctx, func() any { return &t.behaviour })
}

// changeBehaviour decodes a change of the behaviour and puts it in force. A change that
// names the field cold restarts the warm-up, also if its value stays the same.
func (t *FakeTarget) changeBehaviour(body []byte) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := t.behaviour
	if err := json.Unmarshal(body, &next); err != nil {
		return err
	}
	if bytes.Contains(body, []byte(`"cold"`)) {
		t.sampler.restartWarmup(t.config.Timer.Now())
	}
	t.behaviour = next
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// answerJSON answers with a value that it reads and encodes under the mutex.
func (t *FakeTarget) answerJSON(ctx *fasthttp.RequestCtx, value func() any) {
	t.mutex.Lock()
	data, err := json.Marshal(value())
	t.mutex.Unlock()
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// serveCall reads one call, runs it in a slot and answers.
func (t *FakeTarget) serveCall(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerTarget, t.config.ID.String())
	behaviour, _ := t.currentBehaviour()
	if behaviour.Shed || behaviour.Drain {
		t.shed(ctx, behaviour)
		return
	}
	body, err := t.readBody(ctx)
	if err != nil {
		t.count(func(totals *totals) { totals.Truncated++ })
		ctx.SetConnectionClose()
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	if !t.acquireSlot(ctx) {
		t.count(func(totals *totals) { totals.Cancelled++ })
		ctx.SetConnectionClose()
		return
	}
	defer func() { <-t.slots }()
	t.recordStart(ctx)
	if !t.run(ctx) {
		t.count(func(totals *totals) { totals.Cancelled++ })
		ctx.SetConnectionClose()
		return
	}
	t.answer(ctx, body)
}

// shed refuses a call with status 503, and closes its connection under the fault Drain.
func (t *FakeTarget) shed(ctx *fasthttp.RequestCtx, behaviour carobbehaviour.Behaviour) {
	t.count(func(totals *totals) { totals.Shed++ })
	_, _ = io.Copy(io.Discard, bodyOf(ctx))
	ctx.SetStatusCode(http.StatusServiceUnavailable)
	if behaviour.Drain {
		ctx.SetConnectionClose()
	}
}

// acquireSlot waits for a slot. It returns false if the caller closes the connection
// before a slot is free.
func (t *FakeTarget) acquireSlot(ctx *fasthttp.RequestCtx) bool {
	for {
		waitCtx, cancel := context.WithCancel(context.Background())
		waited := make(chan struct{})
		go func() {
			_ = t.config.Timer.Wait(waitCtx, pollInterval)
			close(waited)
		}()
		select {
		case t.slots <- struct{}{}:
			cancel()
			return true
		case <-waited:
			cancel()
		}
		if closedByCaller(ctx.Conn()) {
			return false
		}
	}
}

// run waits for the service time of a call, or longer while the target is frozen. It
// returns false if the caller closes the connection before the run ends.
func (t *FakeTarget) run(ctx *fasthttp.RequestCtx) bool {
	behaviour, _ := t.currentBehaviour()
	serviceTime := t.sampler.sample(&behaviour, t.config.Timer.Now())
	if behaviour.Fail {
		serviceTime = failTime
	}
	for end := t.config.Timer.Now().Add(serviceTime); ; {
		behaviour, _ := t.currentBehaviour()
		now := t.config.Timer.Now()
		if end.Reached(now) && !behaviour.Freeze {
			return true
		}
		_ = t.config.Timer.Wait(context.Background(), nextPoll(end, now, behaviour.Freeze))
		if closedByCaller(ctx.Conn()) {
			return false
		}
	}
}

// nextPoll returns the time until the next check of the caller's connection.
func nextPoll(end, now carobinstant.Instant, frozen bool) time.Duration {
	if frozen {
		return pollInterval
	}
	return min(pollInterval, end.Sub(now))
}

// answer returns the request's body, or a pattern of the size and seed that the query
// gives.
func (t *FakeTarget) answer(ctx *fasthttp.RequestCtx, body *body) {
	behaviour, _ := t.currentBehaviour()
	if behaviour.Fail {
		t.count(func(totals *totals) { totals.Failed++ })
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	t.count(func(totals *totals) { totals.Finished++ })
	const hexadecimal = 16
	ctx.Response.Header.Set(headerSum, strconv.FormatUint(body.sum, hexadecimal))
	ctx.Response.Header.Set(headerLength, strconv.FormatInt(body.length, 10))
	args := ctx.QueryArgs()
	if size := args.GetUintOrZero("size"); size > 0 {
		seed := args.GetUintOrZero("seed")
		ctx.SetBodyStream(carobpattern.NewPattern(carobpattern.Config{
			Seed: uint64(seed), Length: int64(size), //nolint:gosec // not negative
		}), size)
		return
	}
	ctx.SetBody(body.content)
}

// body describes a request's body by its checksum and its length in bytes.
type body struct {
	sum    uint64
	length int64
	// content is the whole body; nil if it is longer than maxEcho.
	content []byte
}

// readBody reads a request's body to its end. It holds at most maxEcho+1 bytes in
// memory.
func (t *FakeTarget) readBody(ctx *fasthttp.RequestCtx) (*body, error) {
	digest := xxhash.New()
	reader := io.TeeReader(&uploadReader{target: t, stream: bodyOf(ctx)}, digest)
	kept, err := io.ReadAll(io.LimitReader(reader, maxEcho+1))
	if err != nil {
		return nil, err
	}
	discarded, err := io.Copy(io.Discard, reader)
	if err != nil {
		return nil, err
	}
	result := &body{sum: digest.Sum64(), length: int64(len(kept)) + discarded}
	if result.length <= maxEcho {
		result.content = kept
	}
	return result, nil
}

// uploadReader reads a body, and counts its call among the uploads once uploadSize bytes have
// arrived.
type uploadReader struct {
	target *FakeTarget
	stream io.Reader
	length int
}

// Read reads from the body.
func (r *uploadReader) Read(into []byte) (int, error) {
	n, err := r.stream.Read(into)
	if r.length < uploadSize && r.length+n >= uploadSize {
		r.target.count(func(totals *totals) { totals.Uploads++ })
	}
	r.length += n
	return n, err
}

// bodyOf returns a reader of the request's body, whether fasthttp streams it or not.
func bodyOf(ctx *fasthttp.RequestCtx) io.Reader {
	if stream := ctx.RequestBodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(ctx.PostBody())
}

// recordStart records the start of a call's run.
func (t *FakeTarget) recordStart(ctx *fasthttp.RequestCtx) {
	call := string(ctx.Request.Header.Peek(carobheader.CallID))
	key := string(ctx.Request.Header.Peek(carobheader.IdempotencyKey))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record.start(call, key)
}

// count updates the totals under the mutex.
func (t *FakeTarget) count(update func(totals *totals)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	update(&t.record.Totals)
}
