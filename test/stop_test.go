package test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopTest is a node whose calls a target holds, with a client that has sent one call.
type stopTest struct {
	node   *process
	conn   net.Conn
	reader *bufio.Reader
	// arrived receives the path of each call that the target has got, and release lets all of
	// them end once it is closed.
	arrived chan string
	release chan struct{}
}

// newStopTest starts a node whose shutdown may take the given time, and returns once the
// target has the call of /1.
func newStopTest(t *testing.T, shutdownTimeout string) *stopTest {
	t.Helper()
	log := start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]
	file := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name": "one", "region": "bavaria", "centre": "west", "log": "`+log+`", "grace": "`+shutdownTimeout+`",
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"}`), 0o600))
	s := &stopTest{node: start(t, "node", "-settings", file), arrived: make(chan string, 8), release: make(chan struct{})}
	output, code := run("publish", "-log", log, "../examples/profiles/lookups.json")
	require.Equal(t, 0, code, output)
	address := startHTTPTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			s.arrived <- r.URL.Path
			<-s.release
		}
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	})
	announce(t, s.node, "lookups/stand", address, 8)
	pair := nodePair{near: s.node}
	pair.waitForService(t, "lookups")
	s.conn, s.reader = pair.dial(t)
	s.get(t, "/1")
	require.Equal(t, "/1", awaitEvent(t, s.arrived, "the call did not reach the target"))
	return s
}

// get sends a call.
func (s *stopTest) get(t *testing.T, path string) {
	t.Helper()
	_, err := io.WriteString(s.conn, "GET "+path+" HTTP/1.1\r\nHost: lookups\r\nCarobknot-Deadline: 20000\r\n\r\n")
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
	s := newStopTest(t, "20s")
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
	s := newStopTest(t, "1s")
	defer close(s.release)
	s.node.signal(t, syscall.SIGTERM)
	require.Equal(t, http.StatusBadGateway, s.readLast(t))
	require.NoError(t, s.conn.Close())
	require.NoError(t, s.node.command.Wait())
}
