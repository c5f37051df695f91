package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// deskConfig has a route for declarations, which may run once.
const deskConfig = `{"version":"00000007","services":[{"name":"desk","health-path":"/health","max-connections":220,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"virtual-hosts":[{"host":"desk.example","paths":[
{"name":"r-declare","path-prefix":"/declare/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"desk","max-attempts":2}]}]}`

const (
	// clockStep is by how much the time of day of a machine is ahead, at first.
	clockStep = 3570 * time.Millisecond
	// drainTime is drain-s of the settings, and contactTime is contact-s.
	drainTime, contactTime = 2 * time.Second, 3 * time.Second
	// servingTime is how long the server serves on after the ack of draining.
	servingTime = 3 * time.Second
)

// drained plays a server that is added while the time of day of its machine is ahead, crashes after
// the clock is right again, starts under the ID that it had, and is emptied soon. It is broken if
// requests that were sent while all machines were in touch reach the server later than drain-s
// after the ack of draining.
func drained(r *rig) (bool, error) {
	r.zones = []string{"bayern-a"}
	if err := r.startNodes(deskConfig, []string{"desk", "desk", "desk", "desk", "reader", "reader"}); err != nil {
		return false, err
	}
	work := func(string) time.Duration { return 160 * time.Millisecond }
	for i, n := range r.nodes[1:4] {
		s := newServer(r, fmt.Sprintf("i-%d", i+2), "desk", n, 12, work)
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	broken := false
	for round := range 6 {
		if playDrained(r, fmt.Sprintf("i-1-%d", round), work) {
			broken = true
		}
	}
	return broken, nil
}

// playDrained plays one life of the server on the first machine, and reports whether the rule was
// broken.
func playDrained(r *rig, id string, work func(string) time.Duration) bool {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	clients.Add(1)
	go func() {
		defer clients.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / 60):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				// The clients are at the other machines, which nothing disturbs.
				a := send(r.nodes[4+rand.IntN(2)], "POST", "/declare/1", "boat=7", 2*time.Second)
				r.note("answer", a.id, a.status, a.err)
				if runs := r.runsOf(a.id); len(runs) > 0 && runs[0].server == id && a.status != 200 {
					r.note("lost:", a.id, "has run at", id, "and was answered", a.status)
				}
			}()
		}
	}()
	first := newServer(r, id, "desk", r.nodes[0], 12, work)
	if r.trouble {
		first.born += clockStep.Milliseconds()
	}
	if first.start() != nil {
		return false
	}
	r.note("server starts", id, "born", first.born)
	time.Sleep(time.Second)
	clockRight := time.Now()
	r.note("the time of day is right again")
	time.Sleep(700 * time.Millisecond)
	first.stop()
	r.note("server crashes", id)
	time.Sleep(500 * time.Millisecond)
	second := newServer(r, id, "desk", r.nodes[0], 12, work)
	if second.start() != nil {
		return false
	}
	r.note("server starts", id, "born", second.born)
	defer second.stop()
	time.Sleep(300 * time.Millisecond)
	second.state.Store("draining")
	if !second.beat() {
		r.note("draining was not acknowledged", id)
		return false
	}
	acked := time.Now()
	r.note("draining was acknowledged", id)
	var late atomic.Int64
	from := acked.Add(drainTime)
	if inTouch := clockRight.Add(contactTime); from.Before(inTouch) {
		from = inTouch
	}
	second.onRun = func(request string) {
		// A request is sent some milliseconds before it reaches the server.
		if time.Now().After(from.Add(100 * time.Millisecond)) {
			late.Add(1)
			r.note("DRAIN:", request, "reaches", id, time.Since(acked).Round(time.Millisecond), "after the ack")
		}
	}
	time.Sleep(servingTime)
	second.post("/-/Instances.Leave/"+id, nil)
	r.note("server leaves", id, "late requests", late.Load())
	fmt.Println(id, "late requests", late.Load())
	return late.Load() > 0
}
