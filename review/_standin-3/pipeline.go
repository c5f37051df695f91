package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// archiveConfig has the route of archive-query, whose requests clients pipeline.
const archiveConfig = `{"version":"00000007","services":[{"name":"store","health-path":"/health","max-connections":220,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"virtual-hosts":[{"host":"desk.example","paths":[
{"name":"r-archive","path-prefix":"/archive/","kind":"safe","timeout-s":2.5,"target-latency-s":1.2,"priority":2,"service":"store","max-attempts":2}]}]}`

// The dose of lmr-logbuch: srv_grey (mute), one of four servers does not answer 0.45 of its
// requests, for 6.5 s. It comes every 15 s.
const (
	muteTime     = 6500 * time.Millisecond
	mutePeriod   = 15 * time.Second
	muteShare    = 0.45
	archiveWork  = 480 * time.Millisecond
	archiveBytes = 400 << 10
	pipelined    = 5
)

// pipeline plays clients that send five safe requests at once on a kept connection, while one of
// four servers leaves requests without an answer at times. It is broken if nodes close connections without an answer to
// requests that a server which always answers has run, more than three times.
func pipeline(r *rig) (bool, error) {
	r.zones = []string{"bayern-a", "bayern-b"}
	if err := r.startNodes(archiveConfig, []string{"store", "store", "store", "store"}); err != nil {
		return false, err
	}
	var began time.Time
	for i, n := range r.nodes {
		s := newServer(r, fmt.Sprintf("i-%d", i+1), "store", n, 12, func(string) time.Duration { return archiveWork })
		if i == 0 {
			s.mute = func() bool {
				return r.trouble && !began.IsZero() && time.Since(began)%mutePeriod < muteTime && rand.Float64() < muteShare
			}
		}
		s.bodyBytes = archiveBytes
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	r.note("traffic begins")
	began = time.Now()
	var mutex sync.Mutex
	lost, statuses := 0, map[int]int{}
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			for time.Since(began) < 60*time.Second {
				answers := sendPipelined(r, r.nodes[i%len(r.nodes)])
				mutex.Lock()
				for _, a := range answers {
					statuses[a.status]++
					if a.err != nil && servedBySound(r, a.id) {
						lost++
						r.note("LOST:", a.id, "was run by", r.runsOf(a.id), "and its connection closed without an answer:", a.err)
					}
				}
				mutex.Unlock()
				time.Sleep(2400 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	r.note("answers", statuses, "lost", lost)
	fmt.Println("answers by status, 0 for none:", statuses, "lost", lost)
	return lost > 3, nil
}

// servedBySound reports whether a server that always answers has run a request.
func servedBySound(r *rig, id string) bool {
	for _, run := range r.runsOf(id) {
		if run.server != "i-1" {
			return true
		}
	}
	return false
}

// sendPipelined sends requests on a connection at once and returns their answers.
func sendPipelined(r *rig, n *node) []answer {
	const deadline = 5 * time.Second
	answers := make([]answer, pipelined)
	conn, err := net.DialTimeout("tcp", n.ip+":8304", time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	text := ""
	for i := range answers {
		answers[i].id = newID()
		text += requestText("GET", "/archive/1", "", answers[i].id, deadline)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return nil
	}
	reader := bufio.NewReader(conn)
	for i := range answers {
		a := &answers[i]
		a.err = readAnswer(reader, a)
		r.note("answer", a.id, a.status, "bytes", len(a.body), "error", a.err)
		if a.err != nil {
			for j := i + 1; j < len(answers); j++ {
				answers[j].err = a.err
			}
			break
		}
	}
	return answers
}
