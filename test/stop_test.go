package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopTest is a node with a client that has one connection, and a target. The target answers
// calls of /fast at once, sends the first half of its answer to /stream at once, and holds
// everything else.
type stopTest struct {
	node   *process
	conn   net.Conn
	reader *bufio.Reader
	// arrived receives the path of each call that the target holds, and release lets all of
	// them end once it is closed.
	arrived chan string
	release chan struct{}
}

// newStopTest starts a node with the given settings, and returns once it has the target.
func newStopTest(t *testing.T, settings string) *stopTest {
	t.Helper()
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	s := &stopTest{node: startNodeWith(t, "one", log, settings), arrived: make(chan string, 8), release: make(chan struct{})}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	announce(t, s.node, "lookups/stand", startHTTPTarget(t, s.serve), 8)
	pair := nodePair{near: s.node}
	pair.waitForService(t, "lookups")
	s.conn, s.reader = pair.dial(t)
	return s
}

// serve handles a request at the target.
func (s *stopTest) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stream" {
		// Longer than what a node buffers before it sends the header.
		_, _ = io.WriteString(w, strings.Repeat("x", 64<<10))
		_ = http.NewResponseController(w).Flush()
	}
	if r.URL.Path != "/ready" && r.URL.Path != "/fast" {
		s.arrived <- r.URL.Path
		<-s.release
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, "answer to "+r.URL.Path+string(body))
}

// await waits until the target has got a call.
func (s *stopTest) await(t *testing.T, path string) {
	t.Helper()
	require.Equal(t, path, awaitEvent(t, s.arrived, "the call did not reach the target"))
}

// get sends a call.
func (s *stopTest) get(t *testing.T, path string) {
	t.Helper()
	s.send(t, "GET "+path+" HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 20000\r\n\r\n")
}

// send sends bytes of calls.
func (s *stopTest) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(s.conn, text)
	require.NoError(t, err)
}

// stop sends SIGTERM, and returns once the node accepts no more connections.
func (s *stopTest) stop(t *testing.T) {
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

// read reads a response that does not say that the connection closes.
func (s *stopTest) read(t *testing.T) (body string) {
	t.Helper()
	resp, err := http.ReadResponse(s.reader, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode, string(data))
	require.False(t, resp.Close)
	return string(data)
}

// readLast reads a response, requires that it is the last one and says so, and that the
// connection ends without a reset. It returns the status.
func (s *stopTest) readLast(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(s.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.True(t, resp.Close, "the response says that the connection closes")
	_, err = s.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "nothing follows, and the connection is not reset")
	return resp.StatusCode
}

// Guards against a stop that resets the connection behind the last response, because the client has sent more calls, so that the client loses the response or takes it for lost.
func TestStopEndsConnectionsBehindTheLastResponse(t *testing.T) {
	s := newStopTest(t, `"grace": "20s"`)
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
	s := newStopTest(t, `"grace": "1s"`)
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
			s := newStopTest(t, `"grace": "20s"`)
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
	s := newStopTest(t, `"grace": "20s"`)
	s.get(t, "/fast")
	require.Equal(t, "answer to /fast", s.read(t))
	stopped := clock.Now()
	s.node.signal(t, syscall.SIGTERM)
	_, err := s.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, s.node.command.Wait())
	require.Less(t, clock.Now().Sub(stopped), 10*time.Second)
}

// Guards against a response that is held back until the next call of its connection ends.
func TestResponseIsSentWhileTheNextCallRuns(t *testing.T) {
	s := newStopTest(t, `"grace": "20s"`)
	defer close(s.release)
	s.send(t, "GET /fast HTTP/1.1\r\nHost: lookups\r\n\r\nGET /1 HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 20000\r\n\r\n")
	s.await(t, "/1")
	require.NoError(t, s.conn.SetReadDeadline(clock.WallTime().Add(5*time.Second)))
	require.Equal(t, "answer to /fast", s.read(t))
}

// Guards against a connection that ends because "100 Continue" is written with the write deadline of a response that was sent long before.
func TestNodeSendsContinueLongAfterAResponse(t *testing.T) {
	s := newStopTest(t, `"limits": {"stall": "1s"}`)
	s.get(t, "/fast")
	require.Equal(t, "answer to /fast", s.read(t))
	require.NoError(t, clock.Wait(t.Context(), 1500*time.Millisecond))
	s.send(t, "POST /fast HTTP/1.1\r\nHost: lookups\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := s.reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = s.reader.Discard(len("\r\n"))
	require.NoError(t, err)
	s.send(t, "hi")
	require.Equal(t, "answer to /fasthi", s.read(t))
}

// Guards against an attempt that another node has admitted and that takes a retry, or fails, because its "100 Continue" is written with the write deadline of a response that was sent long before.
func TestPeerSendsContinueLongAfterAResponse(t *testing.T) {
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	pair := nodePair{near: startNodeWith(t, "near", log, `"retries": {"slack": 0, "save": 0}`), far: startNodeWith(t, "far", log, `"limits": {"stall": "1s"}`), log: log}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	pair.announceTarget(t, "lookups", startHTTPTarget(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	// Longer than what a node sends together with the header.
	const size = 64 << 10
	for range 2 {
		require.NoError(t, clock.Wait(t.Context(), 1500*time.Millisecond))
		resp, err := sendCall(pair.near, "lookups", strings.Repeat("x", size))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
		require.Equal(t, strconv.Itoa(size), resp.body)
	}
}
