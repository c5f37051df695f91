package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// deskConfig has a route for declarations, which may run once, and one for lookups.
const deskConfig = `{"version":"00000007","services":[{"name":"desk","health-path":"/health","max-connections":220,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"virtual-hosts":[{"host":"desk.example","paths":[
{"name":"r-declare","path-prefix":"/declare/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"desk","max-attempts":2},
{"name":"r-check","path-prefix":"/check/","kind":"safe","timeout-s":1,"target-latency-s":0.4,"priority":2,"service":"desk","max-attempts":2}]}]}`

// The doses of lmr-logbuch: srv_lying_health for 7.78 s at 0.148 of the servers, and garble (extra
// late) for 5 s at 0.6 of them, with 0.03 of their answers. Both begin every 8 s.
const (
	period     = 8 * time.Second
	lyingTime  = 7780 * time.Millisecond
	garbleTime = 5 * time.Second
	garbled    = 0.03
)

// refused plays servers of which one falsely says that it is not healthy, and of which two send
// some of their answers once more, late. It is broken if a declaration is answered with a status
// that promises that it has not run, although it has.
func refused(r *rig) (bool, error) {
	if err := r.startNodes(deskConfig, []string{"desk", "desk", "desk", "desk"}); err != nil {
		return false, err
	}
	var began time.Time
	within := func(length time.Duration) bool {
		return r.trouble && !began.IsZero() && time.Since(began)%period < length
	}
	work := func(path string) time.Duration {
		if path[:7] == "/check/" {
			return 30 * time.Millisecond
		}
		return 160 * time.Millisecond
	}
	for i, n := range r.nodes {
		s := newServer(r, fmt.Sprintf("i-%d", i+1), "desk", n, 12, work)
		if i == 0 {
			s.healthy = func() bool { return !within(lyingTime) }
		}
		if i < 2 {
			s.late = func(bool) bool { return within(garbleTime) && rand.Float64() < garbled }
		}
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
	return playDesk(r, 96*time.Second), nil
}

// playDesk sends 26 declarations and 120 lookups a second for a time, and judges the answers.
func playDesk(r *rig, length time.Duration) bool {
	var clients sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int{}
	broken := 0
	deadline := time.Now().Add(length)
	client := func(kind string, pause time.Duration, method, path, body string, unsafe bool) {
		defer clients.Done()
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for time.Now().Before(deadline) {
			<-ticker.C
			clients.Add(1)
			go func() {
				defer clients.Done()
				n := r.nodes[rand.IntN(len(r.nodes))]
				a := send(n, method, path, body, 2*time.Second)
				runs := len(r.runsOf(a.id))
				r.note("answer", kind, a.id, a.status, "stamp", a.stamp != "", "runs", runs, "error", a.err)
				mutex.Lock()
				defer mutex.Unlock()
				counts[fmt.Sprintf("%s %d", kind, a.status)]++
				if unsafe && isPromise(a.status) && runs > 0 {
					broken++
					r.note("BROKEN: REFUSED:", a.id, "was answered", a.status, "and has run at", r.runsOf(a.id)[0].server)
				}
			}()
		}
	}
	clients.Add(2)
	go client("declare", time.Second/26, "POST", "/declare/1", "boat=7", true)
	go client("check", time.Second/120, "GET", "/check/1", "", false)
	clients.Wait()
	time.Sleep(2 * time.Second)
	r.note("answers", counts, "broken", broken)
	fmt.Println("answers", counts, "broken", broken)
	return broken > 0
}
