package carobstandtarget

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

// startTarget runs a target whose node does not exist, and returns its URL.
func startTarget(t *testing.T, slots int) (*Target, string) {
	t.Helper()
	cx, cancel := context.WithCancel(t.Context())
	timer, logger := carobtimer.NewTimer(), logrus.New()
	logger.SetOutput(io.Discard)
	go timer.Run(context.WithoutCancel(cx))
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tg := NewTarget(Config{Slots: slots, Admin: "127.0.0.1:1", Timer: timer, Logger: logger})
	done := make(chan error, 1)
	go func() { done <- tg.Run(cx, ls) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return tg, "http://" + ls.Addr().String()
}

func post(cx context.Context, url string, body io.Reader) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(cx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(rq)
}

func setBehaviour(t *testing.T, url, change string) {
	t.Helper()
	rs, err := post(t.Context(), url+pathControl, strings.NewReader(change))
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, http.StatusOK, rs.StatusCode)
}

func (t *Target) totals() totals {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.record.Totals
}

func TestCallsAboveTheSlotsWait(t *testing.T) {
	tg, url := startTarget(t, 2)
	setBehaviour(t, url, `{"freeze": true}`)
	const calls = 5
	statuses := make(chan int, calls)
	for range calls {
		go func() {
			rs, err := post(context.Background(), url+"/x", strings.NewReader("haul"))
			if err != nil {
				statuses <- 0
				return
			}
			_ = rs.Body.Close()
			statuses <- rs.StatusCode
		}()
	}
	require.Eventually(t, func() bool { return tg.totals().Started == 2 }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return tg.totals().Started > 2 }, 50*time.Millisecond, time.Millisecond)
	setBehaviour(t, url, `{"freeze": false}`)
	for range calls {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.Equal(t, totals{Started: calls, Finished: calls}, tg.totals())
}

func TestCallerThatHangsUpCancels(t *testing.T) {
	tg, url := startTarget(t, 1)
	setBehaviour(t, url, `{"freeze": true}`)
	cx, cancel := context.WithCancel(t.Context())
	go func() {
		rs, err := post(cx, url+"/x", nil)
		if err == nil {
			_ = rs.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return tg.totals().Started == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return tg.totals().Cancelled == 1 }, 10*time.Second, time.Millisecond)
}

func TestFaultsOnCommand(t *testing.T) {
	for _, tc := range []struct {
		name, change string
		status       int
		want         totals
	}{
		{"fail", `{"fail": true, "latency": "1h"}`, http.StatusInternalServerError, totals{Started: 1, Failed: 1}},
		{"shed", `{"shed": true}`, http.StatusServiceUnavailable, totals{Shed: 1}},
		{"drain", `{"drain": true}`, http.StatusServiceUnavailable, totals{Shed: 1}},
		{"healed", `{"fail": false}`, http.StatusOK, totals{Started: 1, Finished: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tg, url := startTarget(t, 1)
			setBehaviour(t, url, tc.change)
			rs, err := post(t.Context(), url+"/x", strings.NewReader("haul"))
			require.NoError(t, err)
			require.NoError(t, rs.Body.Close())
			require.Equal(t, tc.status, rs.StatusCode)
			require.Equal(t, tc.want, tg.totals())
		})
	}
}

func TestLongBodiesAreSummedAndNotKept(t *testing.T) {
	_, url := startTarget(t, 1)
	const length = 5 << 20
	want, _, err := carobpattern.Sum(carobpattern.NewPattern(carobpattern.Config{Seed: 3, Length: length}))
	require.NoError(t, err)
	rs, err := post(t.Context(), url+"/x?size=5242880&seed=9", carobpattern.NewPattern(carobpattern.Config{Seed: 3, Length: length}))
	require.NoError(t, err)
	defer func() { _ = rs.Body.Close() }()
	require.Equal(t, strconv.FormatUint(want, 16), rs.Header.Get(headerSum))
	require.Equal(t, strconv.Itoa(length), rs.Header.Get(headerLength))
	got, n, err := carobpattern.Sum(rs.Body)
	require.NoError(t, err)
	require.EqualValues(t, length, n)
	sent, _, err := carobpattern.Sum(carobpattern.NewPattern(carobpattern.Config{Seed: 9, Length: length}))
	require.NoError(t, err)
	require.Equal(t, sent, got)
}

func TestTimesFollowFromTheSeed(t *testing.T) {
	bh := carobbehaviour.NewBehaviour()
	bh.Latency = carobduration.Duration(10 * time.Millisecond)
	bh.Gap = carobduration.Duration(200 * time.Millisecond)
	for _, shape := range []string{carobbehaviour.LogNormal, carobbehaviour.Pareto} {
		bh.Shape = shape
		first, second := newClock(5, 1), newClock(5, 1)
		jumped, now := 0, carobinstant.Instant(1)
		for range 10_000 {
			now = now.Add(time.Millisecond)
			require.Equal(t, first.draw(&bh, now), second.draw(&bh, now))
			if first.jumping(&bh, now) {
				jumped++
			}
		}
		// A jump takes 27.5 ms on average and follows a gap of 200 ms.
		require.InDelta(t, 10_000*27.5/227.5, jumped, 500)
	}
}
