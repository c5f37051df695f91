package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// twoServiceConfig has a safe route to each of two services.
const twoServiceConfig = `{"version":"00000007","services":[{"name":"desk","health-path":"/health","max-connections":220,"protocol":"h1","tls":false},
{"name":"reader","health-path":"/health","max-connections":220,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"virtual-hosts":[{"host":"desk.example","paths":[
{"name":"r-check","path-prefix":"/check/","kind":"safe","timeout-s":1,"target-latency-s":0.4,"priority":2,"service":"desk","max-attempts":2},
{"name":"r-haul","path-prefix":"/haul/","kind":"safe","timeout-s":1,"target-latency-s":0.4,"priority":2,"service":"reader","max-attempts":2}]}]}`

// The dose of lmr-logbuch: srv_grey, all servers of a service, 0.55 of their requests for 8.5 s. It
// comes three times, and the servers are sound afterwards.
const (
	greyTime   = 8500 * time.Millisecond
	greyPeriod = 15 * time.Second
	greyEnd    = 3 * greyPeriod
	greyShare  = 0.55
	errorBytes = 300 << 10
)

// slots plays servers of a service that fail part of their requests for a while, with a long error
// body. It is broken if, long after that, the requests for the service are served less than a
// quarter as often as all requests.
func slots(r *rig) (bool, error) {
	if err := r.startNodes(twoServiceConfig, []string{"desk", "desk", "desk", "desk", "reader", "reader", "reader", "reader"}); err != nil {
		return false, err
	}
	var began time.Time
	grey := func() bool {
		if !r.trouble || began.IsZero() || time.Since(began) > greyEnd {
			return false
		}
		return time.Since(began)%greyPeriod < greyTime && rand.Float64() < greyShare
	}
	for i, n := range r.nodes {
		work := func(string) time.Duration { return 30 * time.Millisecond }
		s := newServer(r, fmt.Sprintf("i-%d", i+1), n.service, n, 12, work)
		if n.service == "desk" {
			s.fails = func() string {
				if grey() {
					return strings.Repeat("error ", errorBytes/6)
				}
				return ""
			}
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
	served := map[string]int{}
	sent := map[string]int{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	const judgedFrom, length = 60 * time.Second, 95 * time.Second
	client := func(kind, path string, pause time.Duration) {
		defer clients.Done()
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for time.Since(began) < length {
			<-ticker.C
			clients.Add(1)
			go func() {
				defer clients.Done()
				judged := time.Since(began) > judgedFrom
				a := send(r.nodes[rand.IntN(len(r.nodes))], "GET", path, "", 1500*time.Millisecond)
				r.note("answer", kind, a.id, a.status, "bytes", len(a.body), "error", a.err)
				mutex.Lock()
				defer mutex.Unlock()
				if !judged {
					return
				}
				sent[kind]++
				if a.status == 200 && a.stamp != "" && a.err == nil {
					served[kind]++
				}
			}()
		}
	}
	clients.Add(2)
	go client("check", "/check/1", time.Second/100)
	go client("haul", "/haul/1", time.Second/84)
	clients.Wait()
	all := float64(served["check"]+served["haul"]) / float64(sent["check"]+sent["haul"])
	check := float64(served["check"]) / float64(sent["check"])
	r.note("from 60 s on: sent", sent, "served", served)
	fmt.Println("from 60 s on: sent", sent, "served", served)
	return check < all/4, nil
}
