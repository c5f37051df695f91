package carobstandtarget

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

// Paths that are not calls.
const (
	pathRuns    = "/_runs"
	pathTotals  = "/_totals"
	pathControl = "/_behaviour"
)

// Headers of answers.
const (
	// headerTarget names the target that ran the call.
	headerTarget = "X-Target"
	// headerSum is the checksum of the request's body, headerLength its length.
	headerSum    = "X-Sum"
	headerLength = "X-Length"
)

const (
	// echo is the longest body that is sent back.
	echo = 1 << 20
	// look is how often a caller is checked for having hung up.
	look = 5 * time.Millisecond
	// errorTime is how long an error at high speed takes.
	errorTime = 100 * time.Microsecond
)

func (t *Target) serve(rc *fasthttp.RequestCtx) {
	switch string(rc.Path()) {
	case pathRuns:
		t.answerJSON(rc, func() any { return &t.record })
	case pathTotals:
		t.answerJSON(rc, func() any { return &t.record.Totals })
	case pathControl:
		t.control(rc)
	default:
		t.call(rc)
	}
}

// control shows the behaviour, or changes the fields that the body names.
func (t *Target) control(rc *fasthttp.RequestCtx) {
	if !rc.IsGet() {
		body, err := io.ReadAll(bodyOf(rc))
		if err != nil {
			rc.Error(err.Error(), http.StatusBadRequest)
			return
		}
		if err := t.change(body); err != nil {
			rc.Error(err.Error(), http.StatusBadRequest)
			return
		}
	}
	t.answerJSON(rc, func() any { return &t.behaviour })
}

func (t *Target) change(body []byte) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := t.behaviour
	if err := json.Unmarshal(body, &next); err != nil {
		return err
	}
	if bytes.Contains(body, []byte(`"cold"`)) {
		t.clock.chill(t.config.Timer.Now())
	}
	t.behaviour = next
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (t *Target) answerJSON(rc *fasthttp.RequestCtx, what func() any) {
	t.mutex.Lock()
	data, err := json.Marshal(what())
	t.mutex.Unlock()
	if err != nil {
		rc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(data)
}

// call takes in one call, runs it in a slot and answers.
func (t *Target) call(rc *fasthttp.RequestCtx) {
	rc.Response.Header.Set(headerTarget, t.config.ID.String())
	bh, _ := t.now()
	if bh.Shed || bh.Drain {
		t.shed(rc, bh)
		return
	}
	body, err := take(rc)
	if err != nil {
		t.note(func(tt *totals) { tt.Cut++ })
		rc.SetConnectionClose()
		rc.SetStatusCode(http.StatusBadRequest)
		return
	}
	if !t.enter(rc) {
		t.note(func(tt *totals) { tt.Cancelled++ })
		rc.SetConnectionClose()
		return
	}
	defer func() { <-t.slots }()
	t.start(rc)
	if !t.work(rc) {
		t.note(func(tt *totals) { tt.Cancelled++ })
		rc.SetConnectionClose()
		return
	}
	t.answer(rc, body)
}

func (t *Target) shed(rc *fasthttp.RequestCtx, bh carobbehaviour.Behaviour) {
	t.note(func(tt *totals) { tt.Shed++ })
	_, _ = io.Copy(io.Discard, bodyOf(rc))
	rc.SetStatusCode(http.StatusServiceUnavailable)
	if bh.Drain {
		rc.SetConnectionClose()
	}
}

// enter waits for a slot. It reports false if the caller hung up before.
func (t *Target) enter(rc *fasthttp.RequestCtx) bool {
	for {
		pause, cancel := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() {
			_ = t.config.Timer.Wait(pause, look)
			close(over)
		}()
		select {
		case t.slots <- struct{}{}:
			cancel()
			return true
		case <-over:
			cancel()
		}
		if hungUp(rc.Conn()) {
			return false
		}
	}
}

// work lets the call's time pass. It reports false if the caller hung up.
func (t *Target) work(rc *fasthttp.RequestCtx) bool {
	bh, _ := t.now()
	left := t.clock.draw(&bh, t.config.Timer.Now())
	if bh.Fail {
		left = errorTime
	}
	for until := t.config.Timer.Now().Add(left); ; {
		bh, _ := t.now()
		now := t.config.Timer.Now()
		if until.Reached(now) && !bh.Freeze {
			return true
		}
		_ = t.config.Timer.Wait(context.Background(), nextLook(until, now, bh.Freeze))
		if hungUp(rc.Conn()) {
			return false
		}
	}
}

func nextLook(until, now carobinstant.Instant, frozen bool) time.Duration {
	if frozen {
		return look
	}
	return min(look, until.Sub(now))
}

// answer sends back the request's body, or as many bytes as the query asks for.
func (t *Target) answer(rc *fasthttp.RequestCtx, body *body) {
	bh, _ := t.now()
	if bh.Fail {
		t.note(func(tt *totals) { tt.Failed++ })
		rc.SetStatusCode(http.StatusInternalServerError)
		return
	}
	t.note(func(tt *totals) { tt.Finished++ })
	const hexadecimal = 16
	rc.Response.Header.Set(headerSum, strconv.FormatUint(body.sum, hexadecimal))
	rc.Response.Header.Set(headerLength, strconv.FormatInt(body.length, 10))
	args := rc.QueryArgs()
	if size := args.GetUintOrZero("size"); size > 0 {
		seed := args.GetUintOrZero("seed")
		rc.SetBodyStream(carobpattern.NewPattern(carobpattern.Config{
			Seed: uint64(seed), Length: int64(size), //nolint:gosec // not negative
		}), size)
		return
	}
	rc.SetBody(body.kept)
}

// body is what is known of a request's body.
type body struct {
	sum    uint64
	length int64
	// kept is the whole body unless it is longer than echo.
	kept []byte
}

// take reads a request's body to its end without holding a long one.
func take(rc *fasthttp.RequestCtx) (*body, error) {
	digest := xxhash.New()
	from := io.TeeReader(bodyOf(rc), digest)
	kept, err := io.ReadAll(io.LimitReader(from, echo+1))
	if err != nil {
		return nil, err
	}
	rest, err := io.Copy(io.Discard, from)
	if err != nil {
		return nil, err
	}
	bd := &body{sum: digest.Sum64(), length: int64(len(kept)) + rest}
	if bd.length <= echo {
		bd.kept = kept
	}
	return bd, nil
}

func bodyOf(rc *fasthttp.RequestCtx) io.Reader {
	if stream := rc.RequestBodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(rc.PostBody())
}

// start notes that the call runs.
func (t *Target) start(rc *fasthttp.RequestCtx) {
	call := string(rc.Request.Header.Peek(carobheader.Call))
	key := string(rc.Request.Header.Peek(carobheader.Key))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record.start(call, key)
}

func (t *Target) note(what func(tt *totals)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	what(&t.record.Totals)
}
