package test

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stop sends SIGTERM, and returns once the node accepts no more connections.
func (s *connectionTest) stop(t *testing.T) {
	t.Helper()
	s.node.signal(t, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.node.addresses["call"])
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 20*time.Second, time.Millisecond, "the node listens no more")
}

// Guards against a stop that resets the connection behind the last response, because the client has sent more calls, so that the client loses the response or takes it for lost.
func TestStopEndsConnectionsBehindTheLastResponse(t *testing.T) {
	s := newConnectionTest(t, `"grace": "20s"`)
	s.get(t, "/1")
	s.await(t, "/1")
	s.get(t, "/2")
	s.stop(t)
	s.get(t, "/3")
	close(s.release)
	require.Equal(t, http.StatusOK, s.readLast(t))
	require.Empty(t, s.arrived, "what was sent behind the last response is not passed on")
	require.NoError(t, s.conn.Close())
	require.NoError(t, s.node.command.Wait())
}

// Guards against a process that exits at the end of its grace period before the calls under way get their last response.
func TestLastResponsesAreSentAtTheEndOfTheGracePeriod(t *testing.T) {
	s := newConnectionTest(t, `"grace": "1s"`)
	defer close(s.release)
	s.get(t, "/1")
	s.await(t, "/1")
	s.node.signal(t, syscall.SIGTERM)
	require.Equal(t, http.StatusBadGateway, s.readLast(t))
	require.NoError(t, s.conn.Close())
	require.NoError(t, s.node.command.Wait())
}

// Guards against a stop while a response is sent whose head says nothing of it, after which the connection ends without a response that says so: the client cannot know whether what it sent behind was run.
func TestCallsBehindAResponseThatHadBegunGetAResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are sent before and after the stop.
		before, after string
	}{
		{"sent before the stop", "GET /2 HTTP/1.1\r\nHost: lookups\r\n\r\n", ""},
		{"sent after the stop", "", "GET /2 HTTP/1.1\r\nHost: lookups\r\n\r\n"},
		{"half before and half after", "GET /2 HTTP/1.1\r\nHost:", " lookups\r\n\r\n"},
		{"a body after the stop", "POST /2 HTTP/1.1\r\nHost: lookups\r\nContent-Length: 2\r\n\r\nh", "i"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newConnectionTest(t, `"grace": "20s"`)
			s.get(t, "/stream")
			s.await(t, "/stream")
			_, err := s.reader.Peek(1)
			require.NoError(t, err, "the head of the response was sent")
			s.send(t, c.before)
			s.stop(t)
			s.send(t, c.after)
			close(s.release)
			require.Contains(t, s.read(t), "answer to /stream")
			s.readLast(t)
			require.NoError(t, s.conn.Close())
			require.NoError(t, s.node.command.Wait())
		})
	}
}

// Guards against a stop that waits for connections without a call.
func TestStopClosesIdleConnections(t *testing.T) {
	s := newConnectionTest(t, `"grace": "20s"`)
	s.get(t, "/fast")
	require.Equal(t, "answer to /fast", s.read(t))
	stopped := clock.Now()
	s.node.signal(t, syscall.SIGTERM)
	_, err := s.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, s.node.command.Wait())
	require.Less(t, clock.Now().Sub(stopped), 10*time.Second)
}

// deliverHangUps makes the processes that a test starts get hang-ups even if the test itself
// was started to ignore them, as by nohup.
func deliverHangUps(t *testing.T) {
	t.Helper()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangUps) })
}

// Guards against a hang-up that ends the process in the middle of its calls, before or during a stop.
func TestHangUpIsAPlannedStop(t *testing.T) {
	deliverHangUps(t)
	for name, signals := range map[string][]syscall.Signal{
		"alone":       {syscall.SIGHUP},
		"twice":       {syscall.SIGHUP, syscall.SIGHUP},
		"in a stop":   {syscall.SIGTERM, syscall.SIGHUP},
		"before stop": {syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			s := newConnectionTest(t, `"grace": "20s"`)
			s.get(t, "/1")
			s.await(t, "/1")
			for _, sent := range signals {
				s.node.signal(t, sent)
				require.NoError(t, clock.Wait(t.Context(), 100*time.Millisecond))
			}
			close(s.release)
			require.Equal(t, http.StatusOK, s.readLast(t))
			require.NoError(t, s.conn.Close())
			require.NoError(t, s.node.command.Wait())
		})
	}
}
