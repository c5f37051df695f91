package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server stands in for an application server of the platform. It runs as many requests at
// once as it has slots, and queues some more.
type server struct {
	id, service, zone, address, control string
	slots                               int
	work                                time.Duration
	record                              *record
	born                                int64
	sequence                            atomic.Uint64
	running, waiting                    atomic.Int64
	free                                chan struct{}
	// leaving is true once the server has said that it leaves.
	leaving atomic.Bool
	// silent is true once the server sends no more heartbeats.
	silent atomic.Bool
	mutex  sync.Mutex
	http   *http.Server
	// runs counts the runs of each request.
	runs map[string]int
	// onRun is called when a run begins; it may be nil.
	onRun func(req *http.Request)
	// beforeBody is called before the body of a request is read; it may be nil.
	beforeBody func(req *http.Request)
}

const queueLimit = 48

func startServer(s *server) error {
	s.born, s.runs = time.Now().UnixMilli(), map[string]int{}
	s.free = make(chan struct{}, s.slots)
	for range s.slots {
		s.free <- struct{}{}
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat()
	return nil
}

// crash ends the server at once. It sends nothing.
func (s *server) crash() {
	s.silent.Store(true)
	_ = s.http.Close()
}

// beat sends heartbeats until the server says that it leaves or falls silent.
func (s *server) beat() {
	for !s.silent.Load() {
		_, _ = s.sendHeartbeat(s.heartbeat("ready"))
		time.Sleep(1500 * time.Millisecond)
	}
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-s":0,"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, s.slots, state, s.sequence.Add(1), s.born)
}

func (s *server) sendHeartbeat(body string) (int, error) {
	return s.post("/-/Instances.Heartbeat/"+s.id, body)
}

func (s *server) sendLeave() (int, error) {
	return s.post("/-/Instances.Leave/"+s.id, fmt.Sprintf(`{"born":%d}`, s.born))
}

func (s *server) post(path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.control+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func (s *server) setLoad(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
}

// ServeHTTP answers health checks and runs requests.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.setLoad(w)
	id := req.Header.Get("X-Request-Id")
	if req.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || s.waiting.Load() >= queueLimit {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	if s.beforeBody != nil {
		s.beforeBody(req)
	}
	var body bytes.Buffer
	length, err := io.Copy(&limitedBuffer{&body}, req.Body)
	if err != nil {
		s.record.add("server %s: request %s broke off while its body was read", s.id, id)
		return
	}
	s.waiting.Add(1)
	select {
	case <-s.free:
		s.waiting.Add(-1)
	case <-req.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		s.free <- struct{}{}
	}()
	s.mutex.Lock()
	s.runs[id]++
	run := s.runs[id]
	s.mutex.Unlock()
	s.record.add("server %s: runs %s (run %d, %s %s, %d bytes, caller %q)", s.id, id, run, req.Method, req.URL.Path, length, req.Header.Get("X-Caller-Service"))
	if s.onRun != nil {
		s.onRun(req)
	}
	select {
	case <-time.After(s.work):
	case <-req.Context().Done():
		s.record.add("server %s: %s ends, its connection closed", s.id, id)
		return
	}
	s.setLoad(w)
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

func (s *server) runsOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// limitedBuffer keeps the first bytes only, so that large bodies take no memory.
type limitedBuffer struct{ *bytes.Buffer }

func (b *limitedBuffer) Write(data []byte) (int, error) {
	if room := 1024 - b.Len(); room > 0 {
		_, _ = b.Buffer.Write(data[:min(room, len(data))])
	}
	return len(data), nil
}
