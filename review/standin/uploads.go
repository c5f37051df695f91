package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["uploads"] = playUploads }

// Sizes of the case, within max-body-bytes (64 MiB) and the deadline of the uploads (3 s).
const (
	largeBody     = 60 << 20
	usualBody     = 60_000
	uploadSeconds = 2.6
	uploaders     = 4
)

func playUploads(rec *record, trouble bool) (bool, error) {
	s, err := newStage(rec, []string{board, desk, vault})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.run(); err != nil {
		return false, err
	}
	entry := s.nodes[0]
	stop, lost := make(chan struct{}), make(chan answer, 1000)
	var posting sync.WaitGroup
	for range posters {
		posting.Go(func() { post(s, entry, stop, lost) })
	}
	go enforceMemory(s, entry, stop)
	time.Sleep(4 * time.Second)
	size := usualBody
	if trouble {
		size = largeBody
	}
	var uploading sync.WaitGroup
	for range uploaders {
		uploading.Go(func() { upload(s, entry, size) })
	}
	uploading.Wait()
	time.Sleep(3 * time.Second)
	close(stop)
	posting.Wait()
	close(lost)
	passedOn := 0
	for one := range lost {
		if s.servers[1].runsOf(one.id) > 0 {
			passedOn++
		}
	}
	rec.add("count: %d requests were passed on to a sound server, and their kept connection was closed without an answer", passedOn)
	return passedOn > 3, nil
}

// upload sends a body in chunks at an even pace.
func upload(s *stage, entry *node, size int) {
	c := &client{address: entry.outbound, record: s.record}
	defer c.close()
	if c.connect() != nil {
		return
	}
	id := newRequestID()
	s.record.add("client of %s: begins upload %s of %d bytes", c.address, id, size)
	begin := time.Now()
	_ = c.conn.SetDeadline(begin.Add(3 * time.Second))
	err := writeString(c.conn, request("POST", uploadHost, uploadPath+"2f", id, 3*time.Second, "Transfer-Encoding: chunked\r\n"))
	const chunk = 64 << 10
	data := strings.Repeat("u", chunk)
	for sent := 0; sent < size && err == nil; {
		n := min(chunk, size-sent)
		err = writeString(c.conn, fmt.Sprintf("%x\r\n%s\r\n", n, data[:n]))
		sent += n
		due := begin.Add(time.Duration(uploadSeconds * float64(sent) / float64(size) * float64(time.Second)))
		time.Sleep(time.Until(due))
	}
	if err == nil {
		err = writeString(c.conn, "0\r\n\r\n")
	}
	if err != nil {
		s.record.add("client of %s: upload %s breaks off: %v", c.address, id, err)
		return
	}
	s.record.add("client of %s: upload %s is sent", c.address, id)
	c.readAnswer(id, time.Now())
}

// enforceMemory kills the node's process when it exceeds its memory, as the platform does,
// and starts it again.
func enforceMemory(s *stage, n *node, stop <-chan struct{}) {
	most := 0
	for {
		select {
		case <-stop:
			s.record.add("platform: %s had %d MB at most", n.name, most)
			return
		case <-time.After(10 * time.Millisecond):
		}
		memory := n.memory()
		most = max(most, memory)
		if memory > memoryLimit {
			s.record.add("platform: %s has %d MB, over its limit of %d MB", n.name, memory, memoryLimit)
			n.signal(syscall.SIGKILL)
			<-n.ended()
			time.Sleep(500 * time.Millisecond)
			_ = n.start()
		}
	}
}
