package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = playLeave }

const (
	// heartbeatDelay is how late the heartbeat arrives that the server sent before it left.
	heartbeatDelay = 2 * time.Second
	// servingTime is how long the server still serves after its leave is acknowledged.
	servingTime = 9 * time.Second
)

// playLeave has a server leave, as those do that never report that they drain. One of its
// heartbeats, sent before, arrives late. The node that acknowledged the leave is killed.
func playLeave(rec *record, trouble bool) (bool, error) {
	s, err := newStage(rec, []string{board, desk, desk, vault})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.run(); err != nil {
		return false, err
	}
	leaver, beside := s.servers[1], s.nodes[1]
	var mutex sync.Mutex
	var runs []time.Time
	leaver.onRun = func(*http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		runs = append(runs, time.Now())
	}
	stop, lost := make(chan struct{}), make(chan answer, 1000)
	var posting sync.WaitGroup
	for _, entry := range []*node{s.nodes[0], s.nodes[0], s.nodes[2], s.nodes[3]} {
		posting.Go(func() { post(s, entry, stop, lost) })
	}
	time.Sleep(4 * time.Second)

	leaver.silent.Store(true)
	time.Sleep(1600 * time.Millisecond)
	late := leaver.heartbeat("ready")
	rec.add("server %s: sends a heartbeat, which is delayed: %s", leaver.id, late)
	go func() {
		time.Sleep(heartbeatDelay)
		status, err := leaver.sendHeartbeat(late)
		rec.add("server %s: its delayed heartbeat arrives, answer %d (%v)", leaver.id, status, err)
	}()
	time.Sleep(100 * time.Millisecond)
	leaver.leaving.Store(true)
	status, err := leaver.sendLeave()
	acknowledged := time.Now()
	rec.add("server %s: its leave is answered with %d (%v)", leaver.id, status, err)
	if err != nil || status != http.StatusOK {
		return false, err
	}
	started := acknowledged
	if trouble {
		time.Sleep(100 * time.Millisecond)
		beside.signal(syscall.SIGKILL)
		<-beside.ended()
		time.Sleep(500 * time.Millisecond)
		if err := beside.start(); err != nil {
			return false, err
		}
		started = time.Now()
	}
	time.Sleep(time.Until(acknowledged.Add(servingTime)))
	close(stop)
	posting.Wait()
	after := acknowledged.Add(drainTime)
	if inTouch := started.Add(contactTime); trouble && inTouch.After(after) {
		after = inTouch
	}
	count, lateOnes := 0, 0
	mutex.Lock()
	defer mutex.Unlock()
	for _, run := range runs {
		if run.After(acknowledged.Add(drainTime)) {
			lateOnes++
		}
		if run.After(after) {
			count++
		}
	}
	rec.add("count: %d requests reached server %s later than drain-s after the ack, %d of them while all machines were in touch", lateOnes, leaver.id, count)
	return count > 0, nil
}
