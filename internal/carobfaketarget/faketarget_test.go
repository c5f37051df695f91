package carobfaketarget

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobpattern"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// startTarget runs a target without a node and returns it and its URL.
func startTarget(t *testing.T, slots int) (*FakeTarget, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	timer, logger := carobtimer.NewTimer(), logrus.New()
	logger.SetOutput(io.Discard)
	go timer.Run(context.WithoutCancel(ctx))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := NewFakeTarget(Config{Slots: slots, Admin: "127.0.0.1:1", Timer: timer, Logger: logger})
	done := make(chan error, 1)
	go func() { done <- target.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return target, "http://" + listener.Addr().String()
}

func post(ctx context.Context, url string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

func setBehaviour(t *testing.T, url, change string) {
	t.Helper()
	resp, err := post(t.Context(), url+pathBehaviour, strings.NewReader(change))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// totals returns a copy of the totals.
func (t *FakeTarget) totals() totals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.record.Totals
}

// Guards against a target that runs more calls at once than it announces slots.
func TestCallsBeyondSlotsWait(t *testing.T) {
	target, url := startTarget(t, 2)
	setBehaviour(t, url, `{"freeze": true}`)
	const calls = 5
	statuses := make(chan int, calls)
	for range calls {
		go func() {
			resp, err := post(context.Background(), url+"/x", strings.NewReader("haul"))
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return target.totals().Started == 2 }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return target.totals().Started > 2 }, 50*time.Millisecond, time.Millisecond)
	setBehaviour(t, url, `{"freeze": false}`)
	for range calls {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.Equal(t, totals{Started: calls, Finished: calls}, target.totals())
}

// Guards against calls that hold a slot after their caller has closed the connection.
func TestClosedConnectionCancelsCall(t *testing.T) {
	target, url := startTarget(t, 1)
	setBehaviour(t, url, `{"freeze": true}`)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		resp, err := post(ctx, url+"/x", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return target.totals().Started == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return target.totals().Cancelled == 1 }, 10*time.Second, time.Millisecond)
}

// Guards against faults that answer with the wrong status or are counted under the
// wrong total. The bench reads the totals.
func TestFaultsDetermineStatusAndTotals(t *testing.T) {
	for _, fault := range []struct {
		name, change string
		status       int
		want         totals
	}{
		{"fail", `{"fail": true, "latency": "1h"}`, http.StatusInternalServerError, totals{Started: 1, Failed: 1}},
		{"shed", `{"shed": true}`, http.StatusServiceUnavailable, totals{Shed: 1}},
		{"drain", `{"drain": true}`, http.StatusServiceUnavailable, totals{Shed: 1}},
		{"healed", `{"fail": false}`, http.StatusOK, totals{Started: 1, Finished: 1}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			target, url := startTarget(t, 1)
			setBehaviour(t, url, fault.change)
			resp, err := post(t.Context(), url+"/x", strings.NewReader("haul"))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, fault.status, resp.StatusCode)
			require.Equal(t, fault.want, target.totals())
		})
	}
}

// Guards against bodies above maxEcho that are cut or mixed up in either direction.
func TestLongBodiesAreChecksummed(t *testing.T) {
	_, url := startTarget(t, 1)
	const length = 5 << 20
	want, _, err := carobpattern.Checksum(carobpattern.NewPattern(carobpattern.Config{Seed: 3, Length: length}))
	require.NoError(t, err)
	resp, err := post(t.Context(), url+"/x?size=5242880&seed=9", carobpattern.NewPattern(carobpattern.Config{Seed: 3, Length: length}))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, strconv.FormatUint(want, 16), resp.Header.Get(headerSum))
	require.Equal(t, strconv.Itoa(length), resp.Header.Get(headerLength))
	got, n, err := carobpattern.Checksum(resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, length, n)
	sent, _, err := carobpattern.Checksum(carobpattern.NewPattern(carobpattern.Config{Seed: 9, Length: length}))
	require.NoError(t, err)
	require.Equal(t, sent, got)
}

// Guards against service times that do not repeat under one seed, since two runs of a
// bench under the same seed could then not be compared, and against jumps without the
// configured mean interval and length.
func TestServiceTimesRepeatUnderSeed(t *testing.T) {
	behaviour := carobbehaviour.NewBehaviour()
	behaviour.Latency = carobduration.Duration(10 * time.Millisecond)
	behaviour.JumpInterval = carobduration.Duration(200 * time.Millisecond)
	for _, shape := range []string{carobbehaviour.LogNormal, carobbehaviour.Pareto} {
		behaviour.Shape = shape
		first, second := newSampler(5, 1), newSampler(5, 1)
		jumped, now := 0, carobinstant.Instant(1)
		for range 10_000 {
			now = now.Add(time.Millisecond)
			require.Equal(t, first.sample(&behaviour, now), second.sample(&behaviour, now))
			if first.inJump(&behaviour, now) {
				jumped++
			}
		}
		// A jump lasts 27.5 ms on average and follows a mean gap of 200 ms.
		require.InDelta(t, 10_000*27.5/227.5, jumped, 500)
	}
}
