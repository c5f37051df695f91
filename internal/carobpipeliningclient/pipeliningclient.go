// Package carobpipeliningclient is an HTTP/1.1 client for soaks: it sends random requests,
// several at once, and believes each response that says that the connection closes.
package carobpipeliningclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobtimer"
)

// Config holds the parameters of a client.
type Config struct {
	Timer *carobtimer.Timer
	// Address is where the client connects.
	Address string
	// Header has the lines of the header of each request, each of which ends with CR LF.
	Header string
	// Name is part of the paths that the client requests, which no other client requests.
	Name   string
	Random *rand.Rand
}

// PipeliningClient sends requests on one connection after the other.
type PipeliningClient struct {
	config Config
	// sent is the number of requests that were built.
	sent int
	// answered is the number of requests that got their answer.
	answered int
	// unanswered are the paths of the requests that the client takes for not run.
	unanswered []string
	// problems are the responses that were wrong, and the connections that ended although a
	// request had no response.
	problems []string
}

// NewPipeliningClient returns a client that has sent nothing.
func NewPipeliningClient(c Config) *PipeliningClient {
	return &PipeliningClient{config: c}
}

// Answered returns the number of requests that got their answer. Like Unanswered and
// Problems, it is called after Run.
func (c *PipeliningClient) Answered() int { return c.answered }

// Unanswered returns the paths of the requests that the client takes for not run, because
// they were refused, or because a response ahead of them said that the connection closes.
func (c *PipeliningClient) Unanswered() []string { return c.unanswered }

// Problems returns the responses that were wrong, and the connections that ended although a
// request had no response.
func (c *PipeliningClient) Problems() []string { return c.problems }

// Run sends requests until no connection can be opened, or ctx ends. The answer to a request begins with
// AnswerTo its path.
func (c *PipeliningClient) Run(ctx context.Context) {
	const maxPause = 5 * time.Millisecond
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.config.Address)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for c.exchange(conn, reader) {
			_ = c.config.Timer.Wait(ctx, time.Duration(c.config.Random.Int64N(int64(maxPause))))
		}
		_ = conn.Close()
	}
}

// AnswerTo returns how the answer to a request begins.
func (c *PipeliningClient) AnswerTo(path string) string { return "answer to " + path + " " }

// request is a request of a client.
type request struct {
	path string
	// first is sent at once, and rest once the responses before it were read; also "100
	// Continue", if expects is true.
	first, rest string
	expects     bool
}

const (
	// wholeKinds is the number of kinds of requests that are sent whole, and allKinds that of all.
	wholeKinds, allKinds = 3, 6
)

// newRequest returns a random request. Only the last one of several may be sent in parts.
func (c *PipeliningClient) newRequest(last bool) request {
	c.sent++
	path := []string{"/whole", "/pieces"}[c.config.Random.IntN(2)] + "-" + c.config.Name + "-" + strconv.Itoa(c.sent)
	head := path + " HTTP/1.1\r\n" + c.config.Header
	kinds := wholeKinds
	if last {
		kinds = allKinds
	}
	switch c.config.Random.IntN(kinds) {
	case 0:
		return request{path: path, first: "POST " + head + "Content-Length: 2\r\n\r\nhi"}
	case wholeKinds:
		return request{path: path, first: "POST " + head + "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n", rest: "hi", expects: true}
	case wholeKinds + 1:
		return request{path: path, first: "POST " + head + "Content-Length: 2\r\n\r\nh", rest: "i"}
	case wholeKinds + 2:
		return request{path: path, first: "GET " + head, rest: "\r\n"}
	default:
		return request{path: path, first: "GET " + head + "\r\n"}
	}
}

// exchange sends requests at once and reads their responses. It reports whether the connection
// stays open.
func (c *PipeliningClient) exchange(conn net.Conn, reader *bufio.Reader) bool {
	const maxRequests = 6
	requests := make([]request, 1+c.config.Random.IntN(maxRequests))
	var text strings.Builder
	for i := range requests {
		requests[i] = c.newRequest(i == len(requests)-1)
		text.WriteString(requests[i].first)
	}
	_, _ = io.WriteString(conn, text.String())
	for i, sent := range requests {
		open, err := c.readResponse(conn, reader, sent)
		if err != nil {
			c.unanswered = append(c.unanswered, sent.path)
		}
		if err != nil && i > 0 {
			// The first request may have met a connection that closed because it had none.
			c.report("the connection ended without a response to %s: %v", sent.path, err)
		}
		if !open {
			for _, behind := range requests[i+1:] {
				c.unanswered = append(c.unanswered, behind.path)
			}
			return false
		}
	}
	return true
}

// readResponse sends the rest of a request and reads the response to it. It reports whether
// the connection stays open.
func (c *PipeliningClient) readResponse(conn net.Conn, reader *bufio.Reader, sent request) (bool, error) {
	const interim, status = "HTTP/1.1 100 Continue\r\n\r\n", len("HTTP/1.1 100")
	agreed := true
	if sent.expects {
		line, err := reader.Peek(status)
		if err != nil {
			return false, err
		}
		if agreed = string(line) == interim[:status]; agreed {
			_, _ = reader.Discard(len(interim))
		}
	}
	if agreed {
		_, _ = io.WriteString(conn, sent.rest)
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	c.check(sent, resp, string(data))
	return !resp.Close, nil
}

// check records what a response says.
func (c *PipeliningClient) check(sent request, resp *http.Response, text string) {
	switch {
	case resp.StatusCode != http.StatusOK:
		c.unanswered = append(c.unanswered, sent.path)
	case !strings.HasPrefix(text, c.AnswerTo(sent.path)):
		c.report("%q is no answer to %s", text, sent.path)
	default:
		c.answered++
	}
}

func (c *PipeliningClient) report(format string, values ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, values...))
}
