package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lateread"] = playLateRead }

const (
	// lateBody is the size of an upload, within the largest one of the site (360,000 bytes).
	lateBody = 300_000
	// lateWork is how long the server works before it reads the body of an upload.
	lateWork     = 2500 * time.Millisecond
	lateDeadline = 5 * time.Second
	lateUploads  = 4
)

// playLateRead stops a node in a planned way while uploads that it took are at a server.
// The server works on an upload first and reads its body afterwards.
func playLateRead(rec *record, trouble bool) (bool, error) {
	s, err := newStage(rec, []string{board, desk, vault})
	if err != nil {
		return false, err
	}
	defer s.close()
	entry, target := s.nodes[0], s.servers[2]
	if err := s.run(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	workUntil := map[string]time.Time{}
	target.work = lateWork
	target.beforeBody = func(req *http.Request) {
		id := req.Header.Get("X-Request-Id")
		mutex.Lock()
		workUntil[id] = time.Now().Add(lateWork)
		mutex.Unlock()
		rec.add("server %s: works on %s", target.id, id)
		if trouble {
			time.Sleep(lateWork)
		}
	}
	if trouble {
		target.work = 0
	}
	var answers []answer
	var ends []time.Time
	var uploading sync.WaitGroup
	for range lateUploads {
		uploading.Go(func() {
			one := uploadAtOnce(rec, entry)
			mutex.Lock()
			defer mutex.Unlock()
			answers, ends = append(answers, one), append(ends, time.Now())
		})
	}
	time.Sleep(300 * time.Millisecond)
	entry.signal(syscall.SIGTERM)
	terminated := time.Now()
	uploading.Wait()
	count := 0
	for i, one := range answers {
		until, passedOn := workUntil[one.id]
		brokenOff := one.lost || one.status >= 500 && one.stamp == ""
		if passedOn && brokenOff && ends[i].Before(until) && ends[i].Before(terminated.Add(graceTime*5/6)) {
			rec.add("count: %s was broken off %v after the SIGTERM, %v before its server's work was done", one.id, ends[i].Sub(terminated), until.Sub(ends[i]))
			count++
		}
	}
	rec.add("count: %d uploads were broken off while their server was at work", count)
	return count > 0, nil
}

// uploadAtOnce sends a whole upload and reads the answer.
func uploadAtOnce(rec *record, entry *node) answer {
	c := &client{address: entry.outbound, record: rec}
	defer c.close()
	id := newRequestID()
	if err := c.connect(); err != nil {
		return answer{id: id}
	}
	_ = c.conn.SetDeadline(time.Now().Add(lateDeadline))
	head := request("POST", uploadHost, uploadPath+"2f", id, lateDeadline, fmt.Sprintf("Content-Length: %d\r\n", lateBody))
	_, err := io.WriteString(c.conn, head+strings.Repeat("u", lateBody))
	rec.add("client of %s: upload %s of %d bytes is sent (%v)", c.address, id, lateBody, err)
	return c.readAnswer(id, time.Now())
}
