package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// illFor is how long the health probe of one server says that it is ill.
	illFor = 6500 * time.Millisecond
	// spoilFor is how long the server sends extra answers, and spoilShare to how many of its answers.
	spoilFor   = 5 * time.Second
	spoilShare = 0.03
	// payoutsPerSecond is the load of the service.
	payoutsPerSecond = 33
	// workTime is how long a payout takes.
	workTime = 30 * time.Millisecond
)

// illServer is a server whose health probe says that it is ill while it serves, and that sends a
// second copy of some answers to the probe, late: when the next request has arrived.
type illServer struct {
	mutex sync.Mutex
	// active is true while the server is disturbed, and spoils while it sends extra answers.
	ill, spoils bool
	// answers and extras count the answers and the extra ones while spoils is true.
	answers, extras int
	// late has the extra answers that are still to be sent.
	late map[net.Conn]string
}

const illAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,12,100\r\nContent-Length: 0\r\n\r\n"

// health answers a probe.
func (i *illServer) health(s *server, c net.Conn, _ *request) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.sendLate(s, c)
	if !i.ill {
		s.answerHealth(c)
		return true
	}
	answer := fmt.Sprintf(illAnswer, s.id)
	_, _ = io.WriteString(c, answer)
	if !i.spoils {
		return true
	}
	i.answers++
	if float64(i.extras+1) <= spoilShare*float64(i.answers) {
		i.extras++
		i.late[c] = answer
	}
	return true
}

// sendLate sends the extra answer that is due on a connection. The mutex is held.
func (i *illServer) sendLate(s *server, c net.Conn) {
	answer, ok := i.late[c]
	if !ok {
		return
	}
	delete(i.late, c)
	_, _ = io.WriteString(c, answer)
	s.node.rig.log("server %s: sends a second copy of an answer to a health probe", s.id)
}

// handle runs a request.
func (i *illServer) handle(s *server, c net.Conn, q *request) bool {
	i.mutex.Lock()
	i.sendLate(s, c)
	if i.spoils {
		i.answers++
	}
	i.mutex.Unlock()
	s.recordRun(q)
	time.Sleep(workTime)
	s.answer(c, q, "recorded "+q.get("X-Request-Id"))
	return true
}

// set changes how the server is disturbed.
func (i *illServer) set(ill, spoils bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ill, i.spoils = ill, spoils
}

// refused plays the case of payouts that are refused although they ran.
func refused(r *rig) {
	entry := r.addNode(1, "seoul-a", "rota")
	entry.addServer("i-rota-1")
	var desks []*server
	for number := range 3 {
		desks = append(desks, r.addNode(2+number, "seoul-b", "payout").addServer(fmt.Sprintf("i-payout-%d", 1+number)))
	}
	ill := &illServer{late: map[net.Conn]string{}}
	desks[0].mutex.Lock()
	desks[0].health, desks[0].handle = ill.health, ill.handle
	desks[0].mutex.Unlock()
	for _, desk := range desks[1:] {
		desk.mutex.Lock()
		desk.handle = (&illServer{late: map[net.Conn]string{}}).handle
		desk.mutex.Unlock()
	}
	r.putConfig(routes(7))
	r.awaitReady()
	time.Sleep(5 * time.Second)

	var broken, served, failed atomic.Int64
	var clients sync.WaitGroup
	post := func(number int) {
		defer clients.Done()
		id := fmt.Sprintf("p%04d", number)
		r.log("client: sends payout %s", id)
		_, status, err := entry.ask(payoutRequest(id, ""), 4*time.Second)
		r.log("client: payout %s gets %d %v", id, status, err)
		switch {
		case status == 200:
			served.Add(1)
			return
		case status != 503 && status != 429 && status != 408 && status != 421:
			failed.Add(1)
			return
		}
		// The promise covers runs that begin later, too.
		time.Sleep(2 * time.Second)
		for _, desk := range desks {
			if len(desk.runsOf(id)) > 0 {
				broken.Add(1)
				r.log("REFUSED: payout %s got %d, and ran at %s", id, status, desk.id)
			}
		}
	}
	if trouble {
		go func() {
			time.Sleep(2 * time.Second)
			r.log("server %s: its health probe says ill from now on", desks[0].id)
			ill.set(true, false)
			time.Sleep(500 * time.Millisecond)
			ill.set(true, true)
			time.Sleep(spoilFor)
			ill.set(true, false)
			time.Sleep(illFor - spoilFor - 500*time.Millisecond)
			ill.set(false, false)
			r.log("server %s: its health probe is well again", desks[0].id)
		}()
	}
	ticker := time.NewTicker(time.Second / payoutsPerSecond)
	for number := range 10 * payoutsPerSecond {
		<-ticker.C
		clients.Add(1)
		go post(number)
	}
	clients.Wait()
	ill.mutex.Lock()
	defer ill.mutex.Unlock()
	if served.Load() < 5*payoutsPerSecond {
		r.unable("only %d payouts were served", served.Load())
	}
	r.finish(broken.Load() > 0, "%d payouts were refused and ran; %d were served, %d failed without a promise; %d extra answers beside %d",
		broken.Load(), served.Load(), failed.Load(), ill.extras, ill.answers)
}
