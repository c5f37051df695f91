package carobserver_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobpipelinedrequest"
	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// awaitArrivals waits until the handler has got n requests.
func (f *fixture) awaitArrivals(n int) {
	f.t.Helper()
	for range n {
		select {
		case <-f.handler.arrived:
		case <-time.After(20 * time.Second): //nolint:forbidigo // a test's own time-out
			f.t.Fatal("a request did not arrive")
		}
	}
}

// closeServer begins to close the server, and returns once its connections know.
func (f *fixture) closeServer() {
	f.t.Helper()
	done := make(chan struct{})
	go func() {
		f.server.Close(context.Background())
		close(done)
	}()
	f.t.Cleanup(func() { <-done })
	require.Eventually(f.t, func() bool {
		conn, err := net.Dial("tcp", f.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, 20*time.Second, time.Millisecond, "the server listens no more")
	// The connections are told right after the listener is closed, under the same mutex.
	f.server.CloseIdle()
}

// readToEnd reads the responses up to the end of the connection, as a client does that
// discards what follows a response with "Connection: close". It returns their bodies. The
// last response has to say that the connection closes, and no other may.
func (f *fixture) readToEnd() []string {
	f.t.Helper()
	var bodies []string
	for {
		resp := &fasthttp.Response{}
		err := resp.Read(f.reader)
		require.NoError(f.t, err, "the connection ends without a response that says so, after %q", bodies)
		bodies = append(bodies, string(resp.Body()))
		if resp.ConnectionClose() {
			break
		}
	}
	_, err := f.reader.ReadByte()
	require.ErrorIs(f.t, err, io.EOF, "something follows the response that closes the connection: %q", bodies)
	require.NoError(f.t, f.conn.Close())
	return bodies
}

// answersTo returns the bodies of the handler's responses to requests without a body.
func answersTo(paths ...string) []string {
	var bodies []string
	for _, path := range paths {
		bodies = append(bodies, "answer to "+path+" ")
	}
	return bodies
}

// Guards against a stop at which a response says "Connection: close" while requests behind it run, so that their callers discard those answers.
func TestOnlyTheLastResponseOfAStopCloses(t *testing.T) {
	stops := map[string]func(f *fixture){
		"close":           (*fixture).closeServer,
		"drain":           func(f *fixture) { f.server.Drain() },
		"drain and close": func(f *fixture) { f.server.Drain(); f.closeServer() },
		"close twice":     func(f *fixture) { f.closeServer(); f.server.Close(closedContext()) },
	}
	behind := map[string]string{
		"nothing":                     "",
		"a request that waits":        "POST /4 HTTP/1.1\nHost: a\nContent-Length: 2\n\nhi",
		"a request that may not wait": "POST /4 HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n",
		"half a body":                 "POST /4 HTTP/1.1\nHost: a\nContent-Length: 2\n\nh",
		"half a header":               "GET /4 HTTP/1.1\nHost:",
	}
	orders := [][]string{{"/1", "/2", "/3"}, {"/1", "/3", "/2"}, {"/2", "/1", "/3"}, {"/2", "/3", "/1"}, {"/3", "/1", "/2"}, {"/3", "/2", "/1"}}
	for stop, begin := range stops {
		for what, text := range behind {
			if stop == "drain" && text != "" {
				// The request behind is still served.
				continue
			}
			for _, order := range orders {
				t.Run(stop+", "+what+", "+strings.Join(order, ""), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					f.get("/1")
					f.get("/2")
					f.get("/3")
					f.awaitArrivals(3)
					f.send(text)
					begin(f)
					for _, path := range order {
						close(f.handler.release(path))
					}
					require.Equal(t, answersTo("/1", "/2", "/3"), f.readToEnd())
					require.Empty(t, f.handler.arrived, "nothing is passed on that cannot be answered")
				})
			}
		}
	}
}

// closedContext returns a context that has ended.
func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a stop between two responses, after which the next one says that the connection closes although more follow.
func TestStopBetweenTwoResponses(t *testing.T) {
	f := newFixture(t)
	for _, path := range []string{"/1", "/2", "/3"} {
		f.get(path)
	}
	f.awaitArrivals(3)
	close(f.handler.release("/1"))
	require.False(t, f.read().ConnectionClose())
	f.closeServer()
	close(f.handler.release("/2"))
	close(f.handler.release("/3"))
	require.Equal(t, answersTo("/2", "/3"), f.readToEnd())
}

// Guards against a request that has begun to arrive when the server stops, and gets no response that says that it was not run.
func TestRequestsThatAStopInterruptsAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"half a header": "GET /1 HTTP/1.1\nHost:",
		"half a body":   "POST /1 HTTP/1.1\nHost: a\nContent-Length: 2\n\nh",
		"half a chunk":  "POST /1 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nh",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			awaitRead := f.dialRead()
			f.send(text)
			awaitRead()
			f.closeServer()
			resp := f.read()
			require.Equal(t, carobkind.Leaving.Status(), resp.StatusCode())
			require.True(t, resp.ConnectionClose())
			f.requireClosed()
			require.Empty(t, f.handler.arrived)
		})
	}
}

// streamHandler answers /stream with a body that the test writes, and leaves other
// requests to handler.
type streamHandler struct {
	*handler
	body io.ReadCloser
}

func (h streamHandler) Handle(pipelined *carobpipelinedrequest.PipelinedRequest) {
	if string(pipelined.Request().Header.RequestURI()) != "/stream" {
		h.handler.Handle(pipelined)
		return
	}
	h.arrived <- "/stream"
	_ = pipelined.SendAnswer(&carobanswer.Answer{Response: &fasthttp.Response{}, Length: -1, Body: h.body})
}

// newStreamFixture returns a fixture whose client has got the beginning of a response to
// /stream, the writer of the rest, and a function that waits until the server has read all.
func newStreamFixture(t *testing.T) (f *fixture, rest *io.PipeWriter, awaitRead func()) {
	t.Helper()
	body, rest := io.Pipe()
	f = newFixtureWith(t, func(c *carobserver.Config) {
		own, ok := c.Handler.(*handler)
		require.True(t, ok)
		c.Handler = streamHandler{handler: own, body: body}
	})
	t.Cleanup(func() { _ = rest.Close() })
	awaitRead = f.dialRead()
	f.get("/stream")
	f.awaitArrivals(1)
	_, err := rest.Write([]byte("first "))
	require.NoError(t, err)
	_, err = f.reader.Peek(1)
	require.NoError(t, err, "the head of the response was sent")
	return f, rest, awaitRead
}

// Guards against a connection that ends, without a response that says so, behind a long response that had begun before the stop: the client cannot know whether what it sent meanwhile was run.
func TestRequestBehindAResponseThatHadBegunIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, text string
		// late is true if the request begins to arrive after the stop.
		late bool
	}{
		{"half a body", "POST /2 HTTP/1.1\nHost: a\nContent-Length: 2\n\nh", false},
		{"half a header", "GET /2 HTTP/1.1\nHost:", false},
		{"half a header, after the stop", "GET /2 HTTP/1.1\nHost:", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, rest, awaitRead := newStreamFixture(t)
			if c.late {
				f.closeServer()
			}
			f.send(c.text)
			awaitRead()
			if !c.late {
				f.closeServer()
			}
			_, err := rest.Write([]byte("last"))
			require.NoError(t, err)
			require.NoError(t, rest.Close())
			bodies := f.readToEnd()
			require.Len(t, bodies, 2)
			require.Equal(t, "first last", bodies[0])
			require.Equal(t, "the connection is closing", bodies[1])
			require.Empty(t, f.handler.arrived)
		})
	}
}

// Guards against a request of a kind that runs beside others, passed on behind a response that has begun, whose answer is lost at a stop.
func TestRequestsBehindALongResponseAreAnswered(t *testing.T) {
	f, rest, _ := newStreamFixture(t)
	f.get("/2")
	f.get("/3")
	f.awaitArrivals(2)
	f.closeServer()
	close(f.handler.release("/3"))
	close(f.handler.release("/2"))
	require.NoError(t, rest.Close())
	require.Equal(t, append([]string{"first "}, answersTo("/2", "/3")...), f.readToEnd())
}

// Guards against a malformed or incomplete request, or one for which there is no memory, that ends the connection before the requests ahead of it are answered.
func TestRefusalsComeBehindTheAnswers(t *testing.T) {
	for _, c := range []struct {
		name, text string
		kind       carobkind.Kind
	}{
		{"malformed", "GET\n\n", carobkind.Invalid},
		{"two lengths", "POST / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 2\n\nab", carobkind.Invalid},
		{"long header", "GET / HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 8<<10) + "\n\n", carobkind.HeaderTooLarge},
		{"long body", "POST / HTTP/1.1\nHost: a\nContent-Length: 1000000\n\n", carobkind.TooLarge},
		{"half a header", "GET / HTTP/1.1\nHost:", carobkind.RequestTimeout},
		{"half a body", "POST / HTTP/1.1\nHost: a\nContent-Length: 2\n\nh", carobkind.RequestTimeout},
	} {
		for _, stop := range []string{"none", "drain"} {
			t.Run(c.name+", stop "+stop, func(t *testing.T) {
				f := newFixtureWith(t, func(c *carobserver.Config) {
					c.HeaderTimeout, c.StallTimeout = 50*time.Millisecond, 50*time.Millisecond
				})
				f.get("/1")
				f.get("/2")
				f.awaitArrivals(2)
				f.send(c.text)
				if stop == "drain" {
					f.server.Drain()
				}
				pause(t, 100*time.Millisecond)
				close(f.handler.release("/2"))
				close(f.handler.release("/1"))
				for _, path := range []string{"/1", "/2"} {
					resp := f.read()
					require.Equal(t, "answer to "+path+" ", string(resp.Body()))
					require.False(t, resp.ConnectionClose())
				}
				resp := f.read()
				require.Equal(t, c.kind.Status(), resp.StatusCode())
				require.True(t, resp.ConnectionClose())
				f.requireClosed()
			})
		}
	}
}

// Guards against a limit of connections that ends one with requests under way.
func TestLimitOfConnectionsEndsNoneWithPendingRequests(t *testing.T) {
	const limit = 16
	f := newFixtureWith(t, func(c *carobserver.Config) { c.MaxConnections = limit })
	for _, path := range []string{"/1", "/2", "/3"} {
		f.get(path)
	}
	f.awaitArrivals(3)
	pending := *f
	close(f.handler.release("/more"))
	for range 4 * limit {
		f.dial()
		f.get("/more")
		// The response may be a refusal while the connections before are not idle yet.
		_ = (&fasthttp.Response{}).Read(f.reader)
	}
	f.server.CloseIdle()
	f.server.Drain()
	for _, path := range []string{"/3", "/1", "/2"} {
		close(f.handler.release(path))
	}
	require.Equal(t, answersTo("/1", "/2", "/3"), pending.readToEnd())
}

// readListener is a listener whose connections report that the server waits for more bytes.
type readListener struct {
	net.Listener
	// waiting receives the number of bytes that were read from a connection, each time when the
	// server begins to read more.
	waiting chan int
}

// Accept waits for the next connection.
func (l readListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &readConn{Conn: conn, waiting: l.waiting}, err
}

// readConn is a connection of a readListener.
type readConn struct {
	net.Conn
	waiting chan int
	read    int
}

// Read reads from the connection.
func (c *readConn) Read(into []byte) (int, error) {
	c.waiting <- c.read
	n, err := c.Conn.Read(into)
	c.read += n
	return n, err
}

// dialRead opens another connection of the fixture, and returns a function that waits until
// the server has read everything that was sent on it, and waits for more.
func (f *fixture) dialRead() (awaitRead func()) {
	f.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	const reads = 64
	waiting := make(chan int, reads)
	go func() { _ = f.server.Serve(readListener{Listener: listener, waiting: waiting}) }()
	f.address = listener.Addr().String()
	f.dial()
	sent := &sentConn{Conn: f.conn}
	f.conn = sent
	return func() {
		f.t.Helper()
		for {
			select {
			case read := <-waiting:
				if read == sent.count {
					return
				}
			case <-time.After(20 * time.Second): //nolint:forbidigo // a test's own time-out
				f.t.Fatal("the server does not read")
			}
		}
	}
}

// sentConn is a connection of a client that counts the bytes that it sends.
type sentConn struct {
	net.Conn
	count int
}

// Write writes to the connection.
func (c *sentConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count += n
	return n, err
}
