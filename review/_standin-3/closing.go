package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// closingLength is how long the clients send requests, and termPeriod the time between two
	// SIGTERMs, each for another node.
	closingLength = 100 * time.Second
	termPeriod    = 9 * time.Second
	// grace is grace-s of the settings: SIGKILL follows SIGTERM after it.
	grace = 6 * time.Second
)

// closing plays planned restarts of nodes, one after the other, with clients that pipeline three
// safe requests. Clients follow PROTOCOL.md: they send nothing to a node that was not ready twice
// in a row, and they respect "Connection: close": what they sent behind such a response counts as
// not read. It is broken if a request that was passed on to a server has no answer by that.
func closing(r *rig) (bool, error) {
	if err := r.startNodes(archiveConfig, []string{"store", "store", "store", "store"}); err != nil {
		return false, err
	}
	for i, n := range r.nodes {
		work := func(string) time.Duration {
			// The work of archive-query: 480 ms in the mean, with a spread of 0.3.
			return time.Duration(480 * math.Exp(0.3*rand.NormFloat64()) * float64(time.Millisecond))
		}
		s := newServer(r, fmt.Sprintf("i-%d", i+1), "store", n, 12, work)
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	r.note("traffic begins")
	began := time.Now()
	var lost, answered atomic.Int64
	var clients sync.WaitGroup
	for _, n := range r.nodes {
		ready := &atomic.Bool{}
		ready.Store(true)
		go pollReady(n, ready)
		for range 6 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				pipelineUntil(r, n, ready, began.Add(closingLength), &lost, &answered)
			}()
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for k := 0; r.trouble && time.Since(began) < closingLength-termPeriod; k++ {
			time.Sleep(time.Second)
			r.restart(r.nodes[k%len(r.nodes)], termPeriod-time.Second)
		}
	}()
	clients.Wait()
	<-done
	r.note("answered", answered.Load(), "lost", lost.Load())
	fmt.Println("answered", answered.Load(), "lost", lost.Load())
	return lost.Load() > 0, nil
}

// restart sends SIGTERM to a node, SIGKILL after the grace time, starts it again, and returns after
// a time.
func (r *rig) restart(n *node, length time.Duration) {
	end := time.After(length)
	r.signal(n, syscall.SIGTERM)
	exited := make(chan struct{})
	go func() {
		_ = n.command.Wait()
		close(exited)
	}()
	select {
	case <-exited:
	case <-time.After(grace):
		r.signal(n, syscall.SIGKILL)
		<-exited
	}
	r.note("exit", n.name)
	if err := r.startNode(n); err != nil {
		r.note("not started", n.name, err)
	}
	<-end
}

// pollReady asks a node each second whether it is ready. Two misses make it unready, until it
// responds with 200 again.
func pollReady(n *node, ready *atomic.Bool) {
	client := http.Client{Timeout: 900 * time.Millisecond}
	misses := 0
	for range time.Tick(time.Second) {
		misses++
		if response, err := client.Get("http://" + n.ip + ":8302/-/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		ready.Store(misses < 2)
	}
}

// pipelineUntil sends requests on connections that it keeps, three at a time.
func pipelineUntil(r *rig, n *node, ready *atomic.Bool, end time.Time, lost, answered *atomic.Int64) {
	var conn net.Conn
	var reader *bufio.Reader
	for time.Now().Before(end) {
		if !ready.Load() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", n.ip+":8304", time.Second); err != nil {
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if !sendThree(r, n, conn, reader, lost, answered) {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// sendThree sends three requests at once and reads their answers. It reports whether the
// connection may be used on.
func sendThree(r *rig, n *node, conn net.Conn, reader *bufio.Reader, lost, answered *atomic.Int64) bool {
	const deadline = 5 * time.Second
	answers, text := make([]answer, 3), ""
	for i := range answers {
		answers[i].id = newID()
		text += requestText("GET", "/archive/1", "", answers[i].id, deadline)
	}
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	for i := range answers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.note("ends", n.name, answers[i].id, err, "runs", r.runsOf(answers[i].id))
			return false
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return false
		}
		answered.Add(1)
		if !response.Close {
			continue
		}
		for _, behind := range answers[i+1:] {
			if runs := r.runsOf(behind.id); len(runs) > 0 {
				lost.Add(1)
				r.note("LOST:", n.name, behind.id, "ran at", runs[0].server, "and is behind the answer to", answers[i].id, "which closes the connection")
			}
		}
		return false
	}
	return true
}
