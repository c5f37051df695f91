package carobserver_test

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobpipeliningclient"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// soakSeeds is the number of seeds of TestSoak.
var soakSeeds = flag.Int("soak", 20, "number of seeds of the soak")

// soakHandler answers requests after random times, some of them in pieces.
type soakHandler struct {
	timer *carobtimer.Timer
	mutex sync.Mutex
	// random and passedOn are guarded by mutex. passedOn has the paths of the requests that
	// the handler has got.
	random   *rand.Rand
	passedOn map[string]bool
}

// begin records a request and returns how long it takes.
func (h *soakHandler) begin(path string) time.Duration {
	const maxDelay = 20 * time.Millisecond
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.passedOn[path] = true
	return time.Duration(h.random.Int64N(int64(maxDelay)))
}

func (h *soakHandler) Handle(pipelined *carobpipelinedrequest.PipelinedRequest) {
	path := string(pipelined.Request().Header.RequestURI())
	delay := h.begin(path)
	text := "answer to " + path + " " + string(pipelined.Request().Body())
	if !strings.HasPrefix(path, "/pieces") {
		_ = h.timer.Wait(context.Background(), delay)
		resp := &fasthttp.Response{}
		resp.SetBodyString(text)
		pipelined.SendResponse(resp)
		return
	}
	body, pieces := io.Pipe()
	go func() {
		for _, piece := range strings.SplitAfter(text, " ") {
			_ = h.timer.Wait(context.Background(), delay)
			_, _ = io.WriteString(pieces, piece)
		}
		_ = pieces.Close()
	}()
	_ = pipelined.SendAnswer(&carobanswer.Answer{Response: &fasthttp.Response{}, Length: -1, Body: body})
}

func (h *soakHandler) Reject(resp *fasthttp.Response, err error) {
	resp.SetStatusCode(carobkind.Of(err).Status())
}

// Guards against a stop at which a response says that the connection closes ahead of a request that was passed on, or at which a connection ends without a response that says so, in any order of what clients do.
func TestSoak(t *testing.T) {
	for seed := range uint64(*soakSeeds) { //nolint:gosec // not negative
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// soak stops a server in the middle of the requests of many clients.
func soak(t *testing.T, seed uint64) {
	t.Helper()
	const clients, maxPause, maxPipelined = 16, 200 * time.Millisecond, 8
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) } //nolint:gosec // reproducible
	random := newRandom(clients)
	h := &soakHandler{random: newRandom(clients + 1), passedOn: map[string]bool{}}
	f := newFixtureWith(t, func(c *carobserver.Config) {
		go c.Timer.Run(t.Context())
		h.timer, c.Handler, c.MaxPipelined = c.Timer, h, 1+random.IntN(maxPipelined)
		limitMemory(c)
	})
	require.NoError(t, f.conn.Close())
	var running sync.WaitGroup
	var all []*carobpipeliningclient.PipeliningClient
	for i := range uint64(clients) {
		client := carobpipeliningclient.NewPipeliningClient(carobpipeliningclient.Config{
			Timer: h.timer, Address: f.address, Header: "Host: a\r\n", Name: strconv.FormatUint(i, 10), Random: newRandom(i),
		})
		all = append(all, client)
		running.Go(func() { client.Run(t.Context()) })
	}
	pause := func() { _ = h.timer.Wait(t.Context(), maxPause/4+time.Duration(random.Int64N(int64(maxPause)))) }
	pause()
	if random.IntN(2) == 0 {
		f.server.Drain()
		pause()
	}
	f.server.Close(closedContext())
	f.server.CloseIdle()
	f.server.Close(context.Background())
	running.Wait()
	answered := 0
	for _, client := range all {
		answered += client.Answered()
		require.Empty(t, client.Problems())
		for _, path := range client.Unanswered() {
			require.False(t, h.passedOn[path], "%s was passed on, and its client takes it for not run", path)
		}
	}
	require.Positive(t, answered)
}
