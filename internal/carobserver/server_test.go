package carobserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// handler answers a request only after the test closes the channel that release
// returns for the request's path.
type handler struct {
	mutex    sync.Mutex
	releases map[string]chan struct{}
	// arrived receives the paths of the requests in the order of their arrival.
	arrived chan string
	// disconnected receives the paths of the requests whose callers have
	// disconnected.
	disconnected chan string
}

func newHandler() *handler {
	return &handler{releases: map[string]chan struct{}{}, arrived: make(chan string, 64), disconnected: make(chan string, 64)}
}

func (h *handler) release(path string) chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.releases[path] == nil {
		h.releases[path] = make(chan struct{})
	}
	return h.releases[path]
}

func (h *handler) Handle(pipelined *carobpipelinedrequest.PipelinedRequest) {
	path := string(pipelined.Request().Header.RequestURI())
	disconnected := make(chan struct{})
	pipelined.OnDisconnect(sync.OnceFunc(func() {
		h.disconnected <- path
		close(disconnected)
	}))
	h.arrived <- path
	select {
	case <-h.release(path):
	case <-disconnected:
	}
	body := pipelined.Request().Body()
	if segments := pipelined.Body(); segments != nil {
		body, _ = io.ReadAll(segments.Reader())
	}
	resp := &fasthttp.Response{}
	resp.SetBodyString("answer to " + path + " " + string(body))
	pipelined.SendResponse(resp)
}

func (h *handler) Reject(resp *fasthttp.Response, err error) {
	resp.SetStatusCode(carobkind.Of(err).Status())
	resp.SetBodyString(err.Error())
}

// fixture is a running server with one connection of a caller.
type fixture struct {
	t       *testing.T
	handler *handler
	server  *carobserver.Server
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*carobserver.Config) {})
}

// newFixtureWith returns a fixture whose server has changed parameters.
func newFixtureWith(t *testing.T, change func(c *carobserver.Config)) *fixture {
	t.Helper()
	timer := carobtimer.NewTimer()
	f := &fixture{t: t, handler: newHandler()}
	c := carobserver.Config{
		Handler: f.handler, Timer: timer, MaxHeader: 4 * carobsize.KiB, MaxBody: 64 * carobsize.KiB,
		HeaderTimeout: time.Minute, StallTimeout: time.Minute, IdleTimeout: time.Minute, MaxPipelined: 8,
	}
	change(&c)
	f.server = carobserver.NewServer(c)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() { f.server.Close(context.Background()) })
	f.dial()
	return f
}

func (f *fixture) dial() {
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	f.conn, f.reader = conn, bufio.NewReader(conn)
}

func (f *fixture) send(text string) {
	_, err := io.WriteString(f.conn, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(f.t, err)
}

func (f *fixture) get(path string) { f.send("GET " + path + " HTTP/1.1\nHost: a\n\n") }

func (f *fixture) read() *fasthttp.Response {
	resp := &fasthttp.Response{}
	require.NoError(f.t, resp.Read(f.reader))
	return resp
}

// requireClosed requires that the server has closed the connection and sends
// nothing more.
func (f *fixture) requireClosed() {
	_, err := f.reader.ReadByte()
	require.ErrorIs(f.t, err, io.EOF)
}

// A server that handles pipelined requests one after the other adds up their
// latencies; one that answers them out of order gives callers wrong answers.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t)
	for _, path := range []string{"/1", "/2", "/3"} {
		f.get(path)
	}
	seen := map[string]bool{}
	for range 3 {
		seen[<-f.handler.arrived] = true
	}
	require.Len(t, seen, 3, "all run concurrently")
	for _, path := range []string{"/3", "/2", "/1"} {
		close(f.handler.release(path))
	}
	for _, path := range []string{"/1", "/2", "/3"} {
		require.Equal(t, "answer to "+path+" ", string(f.read().Body()))
	}
}

// If the connection closed after the first answer, the caller would send the
// second request again, and a POST that had already started would run twice.
func TestNonIdempotentRequestWaitsForEarlierAnswer(t *testing.T) {
	f := newFixture(t)
	f.get("/1")
	f.send("POST /2 HTTP/1.1\nHost: a\nContent-Length: 2\n\nhi")
	require.Equal(t, "/1", <-f.handler.arrived)
	require.Empty(t, f.handler.arrived)
	close(f.handler.release("/1"))
	require.Equal(t, "/2", <-f.handler.arrived)
	close(f.handler.release("/2"))
	f.read()
	require.Equal(t, "answer to /2 hi", string(f.read().Body()))
}

// If a disconnect were not detected, targets would go on working for callers that
// no longer wait. The second case has a connection on which no further request is
// read.
func TestDisconnectIsDetectedWhileRequestRuns(t *testing.T) {
	for _, head := range []string{"GET /1 HTTP/1.1\nHost: a\n\n", "GET /1 HTTP/1.1\nHost: a\nConnection: close\n\n"} {
		f := newFixture(t)
		f.send(head)
		<-f.handler.arrived
		require.NoError(t, f.conn.Close())
		require.Equal(t, "/1", <-f.handler.disconnected)
	}
}

// The server goes on reading such a connection to detect a disconnect, and must
// not mistake its own end of reading requests for a disconnect.
func TestRequestThatClosesItsConnectionIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.send("GET /1 HTTP/1.1\nHost: a\nConnection: close\n\n")
	<-f.handler.arrived
	close(f.handler.release("/1"))
	require.True(t, f.read().ConnectionClose())
	f.requireClosed()
	require.Empty(t, f.handler.disconnected)
}

// Closing a connection with pending answers would lose them, and refusing new
// connections would fail callers that have not yet learned of the shutdown.
func TestDrainingServerAnswersPendingRequests(t *testing.T) {
	f := newFixture(t)
	f.get("/1")
	f.get("/2")
	<-f.handler.arrived
	<-f.handler.arrived
	f.server.Drain()
	close(f.handler.release("/1"))
	require.False(t, f.read().ConnectionClose(), "the connection has a pending answer")
	close(f.handler.release("/2"))
	require.True(t, f.read().ConnectionClose())
	f.requireClosed()
	f.dial()
	f.get("/2")
	require.True(t, f.read().ConnectionClose(), "new connections are still accepted")
}

func TestClosingServerWaitsForAnswers(t *testing.T) {
	f := newFixture(t)
	f.get("/1")
	<-f.handler.arrived
	done := make(chan struct{})
	go func() {
		f.server.Close(context.Background())
		close(done)
	}()
	close(f.handler.release("/1"))
	require.Equal(t, "answer to /1 ", string(f.read().Body()))
	_ = f.conn.Close()
	<-done
}

// A request whose bounds are ambiguous or exceed the limits must not run.
func TestMalformedRequestIsRejected(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"malformed", "GET\n\n", 400},
		{"two lengths", "POST / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 2\n\nab", 400},
		{"no host", "GET / HTTP/1.1\n\n", 400},
		{"long header", "GET / HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 8<<10) + "\n\n", 431},
		{"long body", fmt.Sprintf("POST / HTTP/1.1\nHost: a\nContent-Length: %d\n\n", 1<<20), 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.send(c.text)
			require.Equal(t, c.status, f.read().StatusCode())
			require.Empty(t, f.handler.arrived, "the request must not reach the handler")
		})
	}
}

// Guards against responses that quote a header: responses are logged by callers, and the header
// holds their keys.
func TestRejectionQuotesNoHeader(t *testing.T) {
	const key = "Authorization: Bearer s3cr3t"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"control character in the key", "GET / HTTP/1.1\nHost: a\n" + key + "\x01\n\n", 400},
		{"zero byte in the key", "GET / HTTP/1.1\nHost: a\n" + key + "\x00\n\n", 400},
		{"unknown protocol", "GET / HTTP/7.7\nHost: a\n" + key + "\n\n", 400},
		{"no path", "GET HTTP/1.1\nHost: a\n" + key + "\n\n", 400},
		{"space in a name", "GET / HTTP/1.1\nHost: a\n" + key + "\nX Y: " + key + "\n\n", 400},
		{"unknown coding", "POST / HTTP/1.1\nHost: a\nTransfer-Encoding: " + key + "\n\n", 400},
		{"request line of an incomplete header", "s3cr3t\nHost: a\n", 400},
		{"long header", "GET / HTTP/1.1\nHost: a\n" + key + "\nX: " + strings.Repeat("x", 8<<10) + "\n" + key + "\n\n", 431},
		{"long key", "GET / HTTP/1.1\nHost: a\n" + key + strings.Repeat("s3cr3t", 2<<10) + "\n\n", 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.send(c.text)
			resp := f.read()
			require.Equal(t, c.status, resp.StatusCode())
			require.NotContains(t, string(resp.Body()), "s3cr3t")
		})
	}
}

func TestChunkedBodyAndExpectContinue(t *testing.T) {
	f := newFixture(t)
	close(f.handler.release("/1"))
	f.send("POST /1 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nab\n1\nc\n0\n\n")
	require.Equal(t, "answer to /1 abc", string(f.read().Body()))
	f.send("POST /1 HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	line, err := f.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100")
	_, err = f.reader.ReadString('\n')
	require.NoError(t, err)
	f.send("hi")
	require.Equal(t, "answer to /1 hi", string(f.read().Body()))
}

// Guards against a call that is cancelled as if its caller had disconnected, since the caller sent more bytes behind a request with "Connection: close".
func TestBytesBehindTheLastRequestAreIgnored(t *testing.T) {
	for name, extra := range map[string]string{"line break": "\n", "another request": "GET /next HTTP/1.1\nHost: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			const calls = 20
			for i := range calls {
				path := fmt.Sprintf("/%d", i)
				f.dial()
				f.send("GET " + path + " HTTP/1.1\nHost: a\nConnection: close\n\n" + extra)
				require.Equal(t, path, <-f.handler.arrived)
				close(f.handler.release(path))
				require.Equal(t, "answer to "+path+" ", string(f.read().Body()))
				f.requireClosed()
			}
			require.Empty(t, f.handler.disconnected)
			require.Empty(t, f.handler.arrived, "no request is accepted behind the last one")
		})
	}
}
