package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client is a client of a machine with one kept connection.
type client struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	body   string
	stamp  string
	// lost is true if the connection ended without an answer.
	lost bool
	// sent is when the last byte of the request was sent.
	sent time.Time
}

var lastRequest atomic.Uint64

func newRequestID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastRequest.Add(1)) }

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request returns the head of a request.
func request(method, host, path, id string, deadline time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n", method, path, host, id, deadline.Milliseconds(), more)
}

// call sends a request with a body held in memory and reads the answer.
func (c *client) call(method, host, path, more, body string, deadline time.Duration) (answer, error) {
	id := newRequestID()
	if err := c.connect(); err != nil {
		return answer{id: id}, err
	}
	if body != "" {
		more += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.record.add("client of %s: sends %s %s%s %s", c.address, method, host, path, id)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c.conn, request(method, host, path, id, deadline, more)+body); err != nil {
		c.close()
		c.record.add("client of %s: %s could not be sent: %v", c.address, id, err)
		return answer{id: id}, err
	}
	return c.readAnswer(id, time.Now()), nil
}

// readAnswer reads the answer to the request that was sent last.
func (c *client) readAnswer(id string, sent time.Time) answer {
	result := answer{id: id, sent: sent}
	resp, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		result.lost = !strings.Contains(err.Error(), "timeout")
		c.record.add("client of %s: %s ends without an answer: %v", c.address, id, err)
		c.close()
		return result
	}
	result.status, result.body, result.stamp = resp.StatusCode, string(body), resp.Header.Get("X-Server-Stamp")
	c.record.add("client of %s: %s gets %d, stamp %q, %d bytes", c.address, id, result.status, result.stamp, len(body))
	if resp.Close {
		c.close()
	}
	return result
}

// post sends payout posts on a kept connection, one after the other.
func post(s *stage, entry *node, stop <-chan struct{}, lost chan<- answer) {
	c := &client{address: entry.outbound, record: s.record}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		result, err := c.call("POST", unsafeHost, unsafePath+"2f", "", strings.Repeat("p", 1200), 3*time.Second)
		if err == nil && result.lost {
			lost <- result
		}
		if err != nil || result.status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// writeString writes a text to a connection.
func writeString(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}
