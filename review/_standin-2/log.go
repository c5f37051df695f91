package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stallBefore is how long the reader of the log has stood still when SIGTERM comes.
	stallBefore = 25 * time.Second
	// grace is the time from SIGTERM to SIGKILL, grace-s of the settings.
	grace = 6 * time.Second
	// excused is the time after SIGTERM up to which the rule excuses requests at which a server is
	// still at work at the end of the grace time.
	excused = 3 * time.Second
	// postWork is how long a server works on a payout.
	postWork = 300 * time.Millisecond
)

// machine is what the platform and the clients know of a machine.
type machine struct {
	mutex  sync.Mutex
	misses int
}

// takesWork reports whether the clients of the machine receive new work.
func (m *machine) takesWork() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.misses < 2
}

// poll asks the node once a second whether it is ready, until stop is closed.
func (m *machine) poll(n *node, stop chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		ready := n.ready()
		m.mutex.Lock()
		if m.misses++; ready {
			m.misses = 0
		}
		m.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// post is a payout that a client has sent.
type post struct {
	id   string
	sent time.Time
	err  error
}

// unreadLog plays the case of a planned stop while nobody reads the log of the process.
func unreadLog(r *rig) {
	entry := r.addNode(1, "seoul-a", "rota")
	entry.addServer("i-rota-1")
	var desks []*server
	for number := range 2 {
		desk := r.addNode(2+number, "seoul-b", "payout").addServer(fmt.Sprintf("i-payout-%d", 1+number))
		desk.mutex.Lock()
		desk.handle = func(s *server, c net.Conn, q *request) bool {
			s.recordRun(q)
			time.Sleep(postWork)
			s.answer(c, q, "recorded "+q.get("X-Request-Id"))
			return true
		}
		desk.mutex.Unlock()
		desks = append(desks, desk)
	}
	r.putConfig(routes(7))
	r.awaitReady()
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	platform := &machine{}
	go platform.poll(entry, stop)
	var mutex sync.Mutex
	var posts []post
	var clients sync.WaitGroup
	for client := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := 0; !isClosed(stop); {
				if !platform.takesWork() {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				c, err := entry.dial()
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for !isClosed(stop) && platform.takesWork() {
					id := fmt.Sprintf("p%d-%04d", client, number)
					number++
					closes, p := sendPost(r, c, id)
					mutex.Lock()
					posts = append(posts, p)
					mutex.Unlock()
					if closes {
						break
					}
				}
				_ = c.Close()
			}
		}()
	}

	if trouble {
		entry.logStalls.Store(true)
		r.log("the reader of the log of %s stands still", entry.name)
	}
	time.Sleep(stallBefore)
	entry.signal(syscall.SIGTERM)
	termed := time.Now()
	r.log("the node of %s gets SIGTERM", entry.name)
	select {
	case <-entry.done:
		r.log("it ends %.1f s later", time.Since(termed).Seconds())
	case <-time.After(grace):
		r.log("it has not ended after grace-s and gets SIGKILL")
		entry.kill()
	}
	close(stop)
	clients.Wait()

	served, lost := 0, 0
	for _, p := range posts {
		if p.err == nil {
			served++
			continue
		}
		ran := len(desks[0].runsOf(p.id)) + len(desks[1].runsOf(p.id))
		if ran > 0 && p.sent.After(termed.Add(excused)) {
			lost++
			r.log("LOST: payout %s, sent %.3f s after the SIGTERM, ran, and its connection ended without an answer: %v", p.id, p.sent.Sub(termed).Seconds(), p.err)
		}
	}
	if served < 300 {
		r.unable("only %d payouts were answered", served)
	}
	r.finish(lost > 0, "%d payouts that were sent later than 3 s after the SIGTERM ran at a server, and their connections ended without an answer; %d were answered", lost, served)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendPost sends a payout on a connection, and reports whether the connection is to be closed.
func sendPost(r *rig, c *client, id string) (bool, post) {
	p := post{id: id, sent: time.Now()}
	r.log("client: sends payout %s", id)
	if _, p.err = io.WriteString(c, payoutRequest(id, "")); p.err != nil {
		return true, p
	}
	q, status, err := c.response("POST", 5*time.Second)
	r.log("client: payout %s gets %d %v", id, status, err)
	if p.err = err; err != nil {
		return true, p
	}
	return strings.EqualFold(q.get("Connection"), "close"), p
}
