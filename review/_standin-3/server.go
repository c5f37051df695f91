package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is an application server, as PROTOCOL.md describes it. It runs up to slots requests at
// once, queues a few more, and rejects the rest.
type server struct {
	rig      *rig
	id       string
	service  string
	address  string
	zone     string
	control  string
	slots    int
	work     func(path string) time.Duration
	born     int64
	listener net.Listener
	places   chan struct{}
	running  atomic.Int64
	queued   atomic.Int64
	sequence atomic.Int64
	state    atomic.Value
	stopped  chan struct{}
	once     sync.Once
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
	// fails returns the body of an error with which a request is to be answered; empty if it is not.
	fails func() string
	// mute returns whether a request is never answered.
	mute func() bool
	// onRun is called with the ID of each request that the server begins to work on.
	onRun func(id string)
	// bodyBytes is the length of the body of a success; 0 for a short one.
	bodyBytes int
}

func newServer(r *rig, id, service string, n *node, slots int, work func(string) time.Duration) *server {
	s := &server{
		rig: r, id: id, service: service, address: n.ip + ":8301", zone: n.zone, control: n.ip + ":8306", slots: slots, work: work,
		born: time.Now().UnixMilli(), places: make(chan struct{}, slots), stopped: make(chan struct{}), conns: map[net.Conn]struct{}{},
		fails: func() string { return "" }, mute: func() bool { return false },
		onRun: func(string) {},
	}
	s.state.Store("ready")
	return s
}

func (s *server) start() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return err
	}
	go s.accept()
	go s.beatAll()
	return nil
}

// stop ends the server as a crash does.
func (s *server) stop() {
	s.once.Do(func() {
		close(s.stopped)
		_ = s.listener.Close()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for conn := range s.conns {
			_ = conn.Close()
		}
	})
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns[conn] = struct{}{}
		s.mutex.Unlock()
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mutex.Lock()
		delete(s.conns, conn)
		s.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		health := request.Method == http.MethodGet && request.URL.Path == "/health"
		response := s.respond(request, body, health)
		if response == nil {
			return
		}
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

func (s *server) respond(request *http.Request, body []byte, health bool) []byte {
	id := request.Header.Get("X-Request-Id")
	switch {
	case health && s.state.Load() == "ready":
		return s.response(200, "", "X-Instance-Id: "+s.id+"\r\n", "")
	case health:
		return s.response(503, "", "X-Instance-Id: "+s.id+"\r\n", "")
	case id == "":
		return s.response(400, "", "X-Not-Executed: 1\r\n", "")
	case request.Header.Get("X-Expect-Instance") != "" && request.Header.Get("X-Expect-Instance") != s.id:
		return s.response(421, id, "X-Instance-Id: "+s.id+"\r\n", "")
	}
	left, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	if int(s.queued.Load()) >= 4*s.slots {
		return s.response(503, id, "X-Not-Executed: 1\r\n", "")
	}
	s.queued.Add(1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case s.places <- struct{}{}:
		s.queued.Add(-1)
	case <-timer.C:
		s.queued.Add(-1)
		return s.response(503, id, "X-Not-Executed: 1\r\n", "")
	}
	defer func() { <-s.places }()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.rig.ran(s, request, body)
	s.onRun(id)
	if s.mute() {
		s.rig.note("mute", s.id, id)
		time.Sleep(time.Until(deadline.Add(time.Second)))
		return nil
	}
	time.Sleep(min(s.work(request.URL.Path), time.Until(deadline)))
	if text := s.fails(); text != "" {
		return s.response(500, id, "X-Server-Stamp: "+s.stamp(id)+"\r\n", text)
	}
	if !time.Now().Before(deadline) {
		return s.response(504, id, "X-Server-Stamp: "+s.stamp(id)+"\r\n", "")
	}
	return s.response(200, id, "X-Server-Stamp: "+s.stamp(id)+"\r\n", s.body(id))
}

// body returns the body of a success.
func (s *server) body(id string) string {
	text := "done by " + s.id + " for " + id + "\n"
	return strings.Repeat(text, max(1, s.bodyBytes/len(text)))
}

func (s *server) stamp(id string) string { return s.id + "." + id }

func (s *server) response(status int, id, fields, body string) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&text, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&text, "X-Server-Load: %d,%d,%d,100\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		s.running.Load(), s.queued.Load(), s.slots, fields, len(body), body)
	return text.Bytes()
}

// beatAll sends a heartbeat every 1.5 s until the server stops.
func (s *server) beatAll() {
	for {
		s.beat()
		select {
		case <-s.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	text, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state.Load(),
		"cold-left-s": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	return s.post("/-/Instances.Heartbeat/"+s.id, text)
}

func (s *server) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode/100 == 2
}
