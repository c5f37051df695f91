package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// restartDelay is how long a killed node is down.
	restartDelay = time.Second
	// reuseDelay is the time from the end of a server to the start of another at its address. The
	// pages allow addr-reuse-s, 2 s, or more.
	reuseDelay = 2100 * time.Millisecond
	// beatLag is how late the first heartbeat of a server arrives, as in the site file's lag_ms.
	beatLag = 800 * time.Millisecond
)

// route plays the case of a node that restarts while the address of its server goes to another
// service.
func route(r *rig) {
	entry := r.addNode(1, "seoul-a", "rota")
	moved := r.addNode(2, "seoul-b", "payout")
	other := r.addNode(3, "seoul-b", "payout")
	entry.addServer("i-rota-1")
	old := moved.addServer("i-payout-1")
	other.addServer("i-payout-2")
	r.putConfig(routes(7))
	r.awaitReady()
	time.Sleep(5 * time.Second)

	var served atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(9 * time.Second)
	for client := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := 0; time.Now().Before(stop); number++ {
				id := fmt.Sprintf("p%d-%04d", client, number)
				r.log("client: sends payout %s", id)
				_, status, err := entry.ask(payoutRequest(id, ""), 4*time.Second)
				r.log("client: payout %s gets %d %v", id, status, err)
				if status == 200 {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)

	old.mutex.Lock()
	old.beats = false
	old.mutex.Unlock()
	_ = old.listener.Close()
	ended := time.Now()
	r.log("server %s has crashed", old.id)
	if trouble {
		moved.kill()
		r.log("the node beside it is killed")
		time.Sleep(restartDelay)
		moved.run()
		r.log("the node is started again, its settings still name the service payout")
	}
	time.Sleep(time.Until(ended.Add(reuseDelay)))
	moved.service = "rota"
	moved.writeSettings()
	moved.signal(syscall.SIGHUP)
	next := &server{node: moved, id: "i-rota-2", service: "rota", born: time.Now().UnixMilli(), slots: 12, state: "ready", load: "0,0,12,100", beats: true}
	var wrong atomic.Int64
	next.handle = func(s *server, c net.Conn, q *request) bool {
		s.recordRun(q)
		if strings.HasPrefix(q.target, "/payout/") {
			wrong.Add(1)
			r.log("ROUTE: server %s of the service rota ran %s", s.id, q.target)
		}
		s.answer(c, q, "body of "+q.get("X-Request-Id"))
		return true
	}
	moved.listenServer(next)
	r.log("server i-rota-2 of the service rota has the address; the settings say so and the node got SIGHUP")
	time.Sleep(beatLag)
	go next.beat()
	clients.Wait()
	if served.Load() < 50 {
		r.unable("only %d payouts were served", served.Load())
	}
	r.finish(wrong.Load() > 0, "%d payouts ran at a server of rota, to which no config allows them; %d payouts were answered with 200", wrong.Load(), served.Load())
}
