package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int
	stamp  string
	body   string
	err    error
}

// host is the host of all routes.
const host = "desk.example"

func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// send sends one request on a new connection to a node and returns the answer.
func send(n *node, method, path, body string, deadline time.Duration) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", n.ip+":8304", time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	a.err = exchange(conn, bufio.NewReader(conn), method, path, body, deadline, &a)
	return a
}

// exchange sends one request on a connection and fills in the answer.
func exchange(conn net.Conn, reader *bufio.Reader, method, path, body string, deadline time.Duration, a *answer) error {
	if _, err := io.WriteString(conn, requestText(method, path, body, a.id, deadline)); err != nil {
		return err
	}
	return readAnswer(reader, a)
}

// requestText returns a request as bytes.
func requestText(method, path, body, id string, deadline time.Duration) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, host, id, deadline.Milliseconds(), length, body)
}

// readAnswer reads the next answer of a connection.
func readAnswer(reader *bufio.Reader, a *answer) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	data, err := io.ReadAll(response.Body)
	a.body = string(data)
	return err
}
