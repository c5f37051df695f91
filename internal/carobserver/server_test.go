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

	"github.com/carobknot/carobknot/internal/carobserver"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/internal/carobvisit"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// answers lets a test decide when each request is answered: by its path.
type answers struct {
	mutex sync.Mutex
	gates map[string]chan struct{}
	// came has the paths of the requests, in the order in which they came.
	came chan string
	// gone has the paths of the requests whose callers have hung up.
	gone chan string
}

func newAnswers() *answers {
	return &answers{gates: map[string]chan struct{}{}, came: make(chan string, 64), gone: make(chan string, 64)}
}

func (a *answers) gate(path string) chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gates[path] == nil {
		a.gates[path] = make(chan struct{})
	}
	return a.gates[path]
}

func (a *answers) Handle(v *carobvisit.Visit) {
	path := string(v.Request().Header.RequestURI())
	left := make(chan struct{})
	v.Notify(sync.OnceFunc(func() {
		a.gone <- path
		close(left)
	}))
	a.came <- path
	select {
	case <-a.gate(path):
	case <-left:
	}
	rs := &fasthttp.Response{}
	rs.SetBodyString("answer to " + path + " " + string(v.Request().Body()))
	v.Reply(rs)
}

func (a *answers) Reject(rs *fasthttp.Response, err error) {
	rs.SetStatusCode(carobkind.Of(err).Status())
}

type rig struct {
	t       *testing.T
	answers *answers
	server  *carobserver.Server
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

func newRig(t *testing.T) *rig {
	t.Helper()
	timer := carobtimer.NewTimer()
	r := &rig{t: t, answers: newAnswers()}
	r.server = carobserver.NewServer(carobserver.Config{
		Handler: r.answers, Timer: timer, Header: 4 * carobsize.KiB, Body: 64 * carobsize.KiB,
		Head: time.Minute, Stall: time.Minute, Idle: time.Minute, Most: 8,
	})
	ls, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = ls.Addr().String()
	go func() { _ = r.server.Serve(ls) }()
	t.Cleanup(func() { r.server.Close(context.Background()) })
	r.dial()
	return r
}

func (r *rig) dial() {
	conn, err := net.Dial("tcp", r.address)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	r.conn, r.reader = conn, bufio.NewReader(conn)
}

func (r *rig) send(text string) {
	_, err := io.WriteString(r.conn, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(r.t, err)
}

func (r *rig) get(path string) { r.send("GET " + path + " HTTP/1.1\nHost: a\n\n") }

func (r *rig) read() *fasthttp.Response {
	rs := &fasthttp.Response{}
	require.NoError(r.t, rs.Read(r.reader))
	return rs
}

// closed requires that nothing more comes.
func (r *rig) closed() {
	_, err := r.reader.ReadByte()
	require.ErrorIs(r.t, err, io.EOF)
}

func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	r := newRig(t)
	for _, path := range []string{"/1", "/2", "/3"} {
		r.get(path)
	}
	seen := map[string]bool{}
	for range 3 {
		seen[<-r.answers.came] = true
	}
	require.Len(t, seen, 3, "all run at once")
	for _, path := range []string{"/3", "/2", "/1"} {
		close(r.answers.gate(path))
	}
	for _, path := range []string{"/1", "/2", "/3"} {
		require.Equal(t, "answer to "+path+" ", string(r.read().Body()))
	}
}

func TestRequestThatMayNotRunTwiceWaitsItsTurn(t *testing.T) {
	r := newRig(t)
	r.get("/1")
	r.send("POST /2 HTTP/1.1\nHost: a\nContent-Length: 2\n\nhi")
	require.Equal(t, "/1", <-r.answers.came)
	require.Empty(t, r.answers.came)
	close(r.answers.gate("/1"))
	require.Equal(t, "/2", <-r.answers.came)
	close(r.answers.gate("/2"))
	r.read()
	require.Equal(t, "answer to /2 hi", string(r.read().Body()))
}

func TestHangUpIsNoticedWhileTheRequestRuns(t *testing.T) {
	for _, head := range []string{"GET /1 HTTP/1.1\nHost: a\n\n", "GET /1 HTTP/1.1\nHost: a\nConnection: close\n\n"} {
		r := newRig(t)
		r.send(head)
		<-r.answers.came
		require.NoError(t, r.conn.Close())
		require.Equal(t, "/1", <-r.answers.gone)
	}
}

func TestRequestThatClosesItsConnectionIsAnswered(t *testing.T) {
	r := newRig(t)
	r.send("GET /1 HTTP/1.1\nHost: a\nConnection: close\n\n")
	<-r.answers.came
	close(r.answers.gate("/1"))
	require.True(t, r.read().ConnectionClose())
	r.closed()
	require.Empty(t, r.answers.gone)
}

func TestDrainingServerAnswersWhatCame(t *testing.T) {
	r := newRig(t)
	r.get("/1")
	r.get("/2")
	<-r.answers.came
	<-r.answers.came
	r.server.Drain()
	close(r.answers.gate("/1"))
	require.False(t, r.read().ConnectionClose(), "an answer is still to come on the connection")
	close(r.answers.gate("/2"))
	require.True(t, r.read().ConnectionClose())
	r.closed()
	r.dial()
	r.get("/2")
	require.True(t, r.read().ConnectionClose(), "new connections are still taken")
}

func TestClosingServerWaitsForAnswers(t *testing.T) {
	r := newRig(t)
	r.get("/1")
	<-r.answers.came
	done := make(chan struct{})
	go func() {
		r.server.Close(context.Background())
		close(done)
	}()
	close(r.answers.gate("/1"))
	require.Equal(t, "answer to /1 ", string(r.read().Body()))
	_ = r.conn.Close()
	<-done
}

func TestWhatIsNoRequestIsRefused(t *testing.T) {
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
			r := newRig(t)
			r.send(c.text)
			require.Equal(t, c.status, r.read().StatusCode())
			require.Empty(t, r.answers.came, "it never reaches a handler")
		})
	}
}

func TestChunkedBodyIsReadWhole(t *testing.T) {
	r := newRig(t)
	close(r.answers.gate("/1"))
	r.send("POST /1 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nab\n1\nc\n0\n\n")
	require.Equal(t, "answer to /1 abc", string(r.read().Body()))
	r.send("POST /1 HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 2\n\n")
	line, err := r.reader.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "100")
	_, err = r.reader.ReadString('\n')
	require.NoError(t, err)
	r.send("hi")
	require.Equal(t, "answer to /1 hi", string(r.read().Body()))
}
