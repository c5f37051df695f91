package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["release"] = playRelease }

const (
	// releaseGap is the time between two replacements of a server, and releases their number.
	releaseGap = time.Second
	releases   = 90
	// keptClients keep a connection each, and send pipelined requests at the same moments.
	keptClients = 53
	pipelined   = 3
	clumpGap    = 3000 * time.Millisecond
	// steadyClients keep a connection each, and send a request steadyGap after each answer.
	steadyClients = 12
	steadyGap     = 100 * time.Millisecond
	// freshGap is the time between two requests on connections of their own.
	freshGap = 100 * time.Millisecond
)

// playRelease replaces the servers of a service one after the other, with their machines.
func playRelease(rec *record, trouble bool) (bool, error) {
	s, err := newStage(rec, []string{vault, desk, board, board})
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, one := range s.servers {
		one.work = 220 * time.Millisecond
	}
	if err := s.run(); err != nil {
		return false, err
	}
	entry := s.nodes[0]
	stop := make(chan struct{})
	var mutex sync.Mutex
	cut := map[string][]string{}
	var clients sync.WaitGroup
	begin := time.Now().Add(time.Second)
	for i := range keptClients {
		clients.Go(func() {
			clump(s, entry, begin, stop, func(ids []string) {
				mutex.Lock()
				defer mutex.Unlock()
				cut[fmt.Sprint(i)] = ids
			})
		})
	}
	for i := range steadyClients {
		clients.Go(func() {
			steady(s, entry, stop, func(id string) {
				mutex.Lock()
				defer mutex.Unlock()
				cut[fmt.Sprint("steady ", i)] = []string{id}
			})
		})
	}
	clients.Go(func() { fresh(s, entry, stop) })
	clients.Go(func() { watchFiles(s, entry, stop) })
	replaceAll(s, entry, trouble)
	close(stop)
	clients.Wait()
	count := 0
	for _, ids := range cut {
		if s.anyRun(ids) {
			count++
		}
	}
	rec.add("count: %d kept connections were closed without an answer to a request that was passed on", count)
	return count > 3, nil
}

// replaceAll replaces servers until all are replaced or the entry's process has ended.
func replaceAll(s *stage, entry *node, trouble bool) {
	oldest := 2
	for i := range releases {
		select {
		case <-entry.ended():
			time.Sleep(2 * time.Second)
			return
		case <-time.After(releaseGap):
		}
		if !trouble {
			continue
		}
		if err := s.addMachine(board, i); err != nil {
			s.record.add("platform: a machine could not be added: %v", err)
			return
		}
		go s.drainMachine(oldest)
		oldest++
	}
}

// addMachine starts a new machine with a server.
func (s *stage) addMachine(service string, number int) error {
	n := &node{name: fmt.Sprintf("sidecar-%d", len(s.nodes)+1), host: fmt.Sprintf("%s%d", s.prefix, len(s.nodes)+2), zone: string(rune('a' + number%3)), service: service, record: s.record}
	if err := n.writeSettings(s.dir, s.store.address); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	one := &server{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: n.zone, address: n.app, control: n.control,
		slots: 12, work: 220 * time.Millisecond, record: s.record,
	}
	s.mutex.Lock()
	s.nodes, s.servers = append(s.nodes, n), append(s.servers, one)
	s.mutex.Unlock()
	return startServer(one)
}

// drainMachine lets a server drain and leave, and then removes its machine.
func (s *stage) drainMachine(i int) {
	s.mutex.Lock()
	n, one := s.nodes[i], s.servers[i]
	s.mutex.Unlock()
	time.Sleep(1500 * time.Millisecond)
	one.silent.Store(true)
	one.leaving.Store(true)
	status, err := one.sendHeartbeat(one.heartbeat("draining"))
	s.record.add("server %s: drains, answer %d (%v)", one.id, status, err)
	time.Sleep(drainTime + 500*time.Millisecond)
	status, err = one.sendLeave()
	s.record.add("server %s: leaves, answer %d (%v)", one.id, status, err)
	one.crash()
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended():
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
	}
}

// anyRun reports whether a server ran one of the requests.
func (s *stage) anyRun(ids []string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range s.servers {
		for _, id := range ids {
			if one.runsOf(id) > 0 {
				return true
			}
		}
	}
	return false
}

// clump sends pipelined safe requests on a kept connection, at the same moments as the other
// clients. onCut gets the requests that were open when the connection ended.
func clump(s *stage, entry *node, begin time.Time, stop <-chan struct{}, onCut func(ids []string)) {
	c := &client{address: entry.outbound, record: s.record}
	defer c.close()
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(begin.Add(time.Duration(round) * clumpGap))):
		}
		if c.connect() != nil {
			continue
		}
		var ids []string
		var text strings.Builder
		for range pipelined {
			ids = append(ids, newRequestID())
			text.WriteString(request(http.MethodGet, safeHost, safePath+"2f", ids[len(ids)-1], 2500*time.Millisecond, ""))
		}
		s.record.add("client of %s: sends %v", c.address, ids)
		_ = c.conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
		if writeString(c.conn, text.String()) != nil {
			c.close()
			continue
		}
		for i, id := range ids {
			if one := c.readAnswer(id, time.Now()); one.lost {
				onCut(ids[i:])
			}
			if c.conn == nil {
				break
			}
		}
	}
}

// steady sends safe requests on a kept connection, one after the other. onCut gets one that
// was open when the connection ended.
func steady(s *stage, entry *node, stop <-chan struct{}, onCut func(id string)) {
	c := &client{address: entry.outbound, record: s.record}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(steadyGap):
		}
		one, err := c.call(http.MethodGet, safeHost, safePath+"2f", "", "", 2500*time.Millisecond)
		if err == nil && one.lost {
			onCut(one.id)
		}
	}
}

// fresh sends safe requests on connections of their own.
func fresh(s *stage, entry *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(freshGap):
		}
		go func() {
			c := &client{address: entry.outbound, record: s.record}
			defer c.close()
			_, _ = c.call(http.MethodGet, safeHost, safePath+"2f", "", "", 2500*time.Millisecond)
		}()
	}
}

// watchFiles records how many descriptors the process has open.
func watchFiles(s *stage, n *node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid())); err == nil {
			s.record.add("platform: %s has %d descriptors open, of %d; ready: %v", n.name, len(entries), fileLimit, n.isReady())
		}
	}
}
