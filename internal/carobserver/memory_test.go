package carobserver_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobbytebudget"
	"github.com/carobknot/carobknot/internal/carobconnectiontable"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobshedding"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// newLimitedFixture returns a fixture whose connections may hold limit bytes, and the
// budget of which they are reserved.
func newLimitedFixture(t *testing.T, limit carobsize.Size, change func(c *carobserver.Config)) (*fixture, *carobbytebudget.ByteBudget) {
	t.Helper()
	budget := carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: limit})
	f := newFixtureWith(t, func(c *carobserver.Config) {
		go c.Timer.Run(t.Context())
		c.MaxHeader, c.MaxBody = 16*carobsize.KiB, 4*carobsize.MiB
		c.Connections = newTable(c.Timer, budget, limit)
		change(c)
	})
	return f, budget
}

// pause waits for a while.
func pause(t *testing.T, delay time.Duration) {
	t.Helper()
	timer := carobtimer.NewTimer()
	go timer.Run(t.Context())
	require.NoError(t, timer.Wait(t.Context(), delay))
}

func newTable(timer *carobtimer.Timer, budget *carobbytebudget.ByteBudget, limit carobsize.Size) *carobconnectiontable.ConnectionTable {
	return carobconnectiontable.NewConnectionTable(carobconnectiontable.Config{
		Budget: budget, Limit: limit, Timer: timer,
		Shedding: carobshedding.NewShedding(carobshedding.Config{
			StallTimeout: 100 * time.Millisecond, UnreadTimeout: time.Second, WaitTimeout: 300 * time.Millisecond, ProgressSize: 10,
		}),
	})
}

// Guards against a slow client that is taken for one that does not behave: one whose header takes just under its time, whose body makes steady progress for longer than a stall may last, and whose connection is idle for four fifths of the limit.
func TestSlowClientsAreServedInCalm(t *testing.T) {
	const timeout = 500 * time.Millisecond
	f, budget := newLimitedFixture(t, carobsize.MiB, func(c *carobserver.Config) {
		c.HeaderTimeout, c.StallTimeout, c.IdleTimeout = timeout, timeout, timeout
	})
	for range 2 {
		close(f.handler.release("/slow"))
		f.send("POST /slow HTTP/1.1\nHost: a\n")
		pause(t, timeout*4/5)
		f.send("Content-Length: 9\n\n")
		for _, part := range strings.Split("123 456 789", " ") {
			pause(t, timeout*3/5)
			f.send(part)
		}
		require.Equal(t, "answer to /slow 123456789", string(f.read().Body()))
		pause(t, timeout*4/5)
		f.handler.releases = map[string]chan struct{}{}
	}
	require.NoError(t, f.conn.Close())
	require.Eventually(t, func() bool { return budget.Reserved() == 0 }, 5*time.Second, time.Millisecond, "all is released")
}

// Guards against bodies, in one piece or in chunks, that are changed by being received in steps, and against memory that is not released.
func TestLongBodiesArriveWhole(t *testing.T) {
	f, budget := newLimitedFixture(t, 8*carobsize.MiB, func(*carobserver.Config) {})
	text := strings.Repeat("0123456789", 200_000)
	close(f.handler.release("/long"))
	go f.send("POST /long HTTP/1.1\nHost: a\nContent-Length: 2000000\n\n" + text)
	require.Equal(t, "answer to /long "+text, string(f.read().Body()))
	chunks := strings.Repeat("3e8\n"+text[:1000]+"\n", 2000)
	go f.send("POST /long HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n" + chunks + "0\nX-Trailer: x\n\n")
	require.Equal(t, "answer to /long "+text, string(f.read().Body()))
	f.get("/long")
	require.Equal(t, "answer to /long ", string(f.read().Body()), "the connection is used on")
	require.NoError(t, f.conn.Close())
	require.Eventually(t, func() bool { return budget.Reserved() == 0 }, 5*time.Second, time.Millisecond, "all is released")
}

// Guards against a client that is closed without an answer although it could be told that its call has not run.
func TestWhoeverYieldsIsRefused(t *testing.T) {
	f, budget := newLimitedFixture(t, carobsize.MiB, func(*carobserver.Config) {})
	body := strings.Repeat("x", 700_000)
	f.send("POST /stalled HTTP/1.1\nHost: a\nContent-Length: 700001\n\n" + body)
	require.Eventually(t, func() bool { return budget.Reserved() > len(body) }, 5*time.Second, time.Millisecond, "the body has arrived")
	stalled := *f
	f.dial()
	close(f.handler.release("/next"))
	f.send("POST /next HTTP/1.1\nHost: a\nContent-Length: 500000\n\n" + body[:500_000])
	require.Equal(t, 200, f.read().StatusCode())
	require.Equal(t, carobkind.RequestTimeout.Status(), stalled.read().StatusCode())
	stalled.requireClosed()
}

// Guards against a client that keeps its memory by not reading its responses, with another request begun behind them, and against closing it while it reads.
func TestWhoeverDoesNotReadYields(t *testing.T) {
	f, budget := newLimitedFixture(t, carobsize.MiB, func(*carobserver.Config) {})
	body := strings.Repeat("x", 400_000)
	close(f.handler.release("/unread"))
	go func() {
		for {
			_, err := io.WriteString(f.conn, "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n"+body)
			if err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return len(f.handler.arrived) > 2 }, 5*time.Second, time.Millisecond)
	pause(t, 500*time.Millisecond)
	require.Greater(t, budget.Reserved(), len(body), "a response waits")
	other := *f
	other.dial()
	close(f.handler.release("/other"))
	for range 20 {
		other.send("POST /other HTTP/1.1\nHost: a\nContent-Length: 400000\n\n" + body)
		if other.read().StatusCode() == 200 {
			return
		}
		other.dial()
	}
	t.Fatal("the memory stays with a client that does not read")
}

// Guards against header fields that take many times the size of their bytes, and against pipelined requests that add up on a connection.
func TestFieldsAndPipelinedRequestsAreCounted(t *testing.T) {
	f, budget := newLimitedFixture(t, 16*carobsize.MiB, func(*carobserver.Config) {})
	fields := strings.Repeat("a:\n", 3000)
	f.send("GET /1 HTTP/1.1\nHost: a\n" + fields + "\n")
	<-f.handler.arrived
	first := budget.Reserved()
	require.Greater(t, first, 3000*200)
	go func() {
		_, _ = io.WriteString(f.conn, strings.Repeat("GET /1 HTTP/1.1\r\nHost: a\r\n"+strings.ReplaceAll(fields, "\n", "\r\n")+"\r\n", 4))
	}()
	pause(t, 100*time.Millisecond)
	require.Less(t, budget.Reserved(), 3*first, "at most one more waits")
	close(f.handler.release("/1"))
	for range 5 {
		require.Equal(t, 200, f.read().StatusCode())
	}
}

// limitMemory gives a server a budget that is not reached.
func limitMemory(c *carobserver.Config) {
	const limit = 64 * carobsize.MiB
	c.Connections = newTable(c.Timer, carobbytebudget.NewByteBudget(carobbytebudget.Config{Limit: limit}), limit)
}

// Guards against empty lines before a header, by which its fields would not be counted.
func TestFieldsBehindEmptyLinesAreCounted(t *testing.T) {
	f, budget := newLimitedFixture(t, 16*carobsize.MiB, func(*carobserver.Config) {})
	f.send("\n\nGET /1 HTTP/1.1\nHost: a\n" + strings.Repeat("a:\n", 900) + "\n")
	<-f.handler.arrived
	release := sync.OnceFunc(func() { close(f.handler.release("/1")) })
	defer release()
	require.Greater(t, budget.Reserved(), 900*200)
	release()
	require.Equal(t, 200, f.read().StatusCode())
}
