package test

import (
	"flag"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobpipeliningclient"
)

// soakSeeds is the number of seeds of TestSoak.
var soakSeeds = flag.Int("soak", 3, "number of seeds of the soak")

// soakTarget answers requests after random times, some of them in pieces, and closes some
// connections, which concerns none of a client.
type soakTarget struct {
	mutex sync.Mutex
	// random and passedOn are guarded by mutex. passedOn has the paths of the requests that
	// the target has got.
	random   *rand.Rand
	passedOn map[string]bool
}

// begin records a request. It returns how long the request takes, and whether its connection
// closes afterwards.
func (s *soakTarget) begin(path string) (delay time.Duration, closes bool) {
	const maxDelay, closesOneIn = 20 * time.Millisecond, 4
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passedOn[path] = true
	return time.Duration(s.random.Int64N(int64(maxDelay))), s.random.IntN(closesOneIn) == 0
}

func (s *soakTarget) serve(w http.ResponseWriter, r *http.Request) {
	delay, closes := s.begin(r.URL.Path)
	if closes {
		w.Header().Set("Connection", "close")
	}
	body, _ := io.ReadAll(r.Body)
	text := "answer to " + r.URL.Path + " " + string(body)
	if !strings.HasPrefix(r.URL.Path, "/pieces") {
		_ = clock.Wait(r.Context(), delay)
		_, _ = io.WriteString(w, text)
		return
	}
	for _, piece := range strings.SplitAfter(text, " ") {
		_ = clock.Wait(r.Context(), delay)
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards against a node whose stop, with reloads around it, ends a connection ahead of a call that was passed on, or without a response that says so. The clients use their connections until the process is gone.
func TestSoak(t *testing.T) {
	deliverHangUps(t)
	for seed := range uint64(*soakSeeds) { //nolint:gosec // not negative
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soak(t, seed) })
	}
}

// soak stops the node that many clients use, in the middle of their calls.
func soak(t *testing.T, seed uint64) {
	t.Helper()
	const clients, maxPause = 16, 500 * time.Millisecond
	newRandom := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) } //nolint:gosec // reproducible
	random := newRandom(clients)
	pause := func() { require.NoError(t, clock.Wait(t.Context(), time.Duration(random.Int64N(int64(maxPause))))) }
	pair := startNodePair(t)
	target := &soakTarget{random: newRandom(clients + 1), passedOn: map[string]bool{}}
	pair.announceTarget(t, "lookups", startHTTPTarget(t, target.serve))
	var running sync.WaitGroup
	var all []*carobpipeliningclient.PipeliningClient
	for i := range uint64(clients) {
		client := carobpipeliningclient.NewPipeliningClient(carobpipeliningclient.Config{
			Timer: clock, Address: pair.near.addresses["call"], Header: "Host: lookups\r\nCarobknot-Deadline: 20000\r\n",
			Name: strconv.FormatUint(i, 10), Random: newRandom(i),
		})
		all = append(all, client)
		running.Go(func() { client.Run(t.Context()) })
	}
	pause()
	pair.near.signal(t, syscall.SIGHUP)
	pause()
	pair.near.signal(t, syscall.SIGTERM)
	pause()
	pair.near.signal(t, syscall.SIGHUP)
	running.Wait()
	require.NoError(t, pair.near.command.Wait())
	answered := 0
	for _, client := range all {
		answered += client.Answered()
		require.Empty(t, client.Problems())
		for _, path := range client.Unanswered() {
			require.False(t, target.passedOn[path], "%s was passed on, and its client takes it for not run", path)
		}
	}
	require.Positive(t, answered)
	t.Logf("%d answered", answered)
}
