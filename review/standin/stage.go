package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// Hosts and paths of the routes.
const (
	safeHost, safePath     = "jepu9.example", "/lepu270/"
	unsafeHost, unsafePath = "hulo84.example", "/xapu221/ny95/"
	uploadHost, uploadPath = "jepu9.example", "/fiti832/ti23/"
)

// Services of the stage.
const (
	board = "rota-board"
	desk  = "payout-desk"
	vault = "ledger-vault"
)

// Bounds of the settings and the config.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	graceTime   = 6 * time.Second
)

// posters is the number of clients that post payouts beside the uploads.
const posters = 8

// stage is a small deployment: a store, machines with a node and a server each, and clients.
type stage struct {
	record *record
	dir    string
	prefix string
	store  *store
	// mutex guards nodes and servers while machines are added.
	mutex   sync.Mutex
	nodes   []*node
	servers []*server
}

// newStage starts the store and prepares one machine for each service of the list.
func newStage(rec *record, services []string) (*stage, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stage{record: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
	if s.store, err = startStore(s.prefix + "1"); err != nil {
		return nil, err
	}
	for i, service := range services {
		n := &node{name: fmt.Sprintf("sidecar-%d", i+1), host: fmt.Sprintf("%s%d", s.prefix, i+2), zone: string(rune('a' + i%3)), service: service, record: rec}
		if err := n.writeSettings(dir, s.store.address); err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		s.servers = append(s.servers, &server{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: n.zone, address: n.app, control: n.control,
			slots: 12, work: 290 * time.Millisecond, record: rec,
		})
	}
	return s, nil
}

// run starts the servers and the nodes, and waits until the nodes are ready and serve.
func (s *stage) run() error {
	s.putConfig(1, standardRoutes(), "")
	for i := range s.nodes {
		if err := s.nodes[i].start(); err != nil {
			return err
		}
		if err := startServer(s.servers[i]); err != nil {
			return err
		}
	}
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		if s.isServed() {
			s.record.add("platform: all nodes are ready and serve")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the nodes do not serve within 20 s")
}

// isServed reports whether each node is ready and serves each kind of request.
func (s *stage) isServed() bool {
	quiet := &record{file: s.record.file, start: s.record.start}
	for _, n := range s.nodes {
		if !n.isReady() {
			return false
		}
		for _, target := range [][3]string{{"GET", safeHost, safePath}, {"POST", unsafeHost, unsafePath}, {"POST", uploadHost, uploadPath}} {
			c := &client{address: n.outbound, record: quiet}
			result, err := c.call(target[0], target[1], target[2]+"first", "", map[bool]string{true: "x"}[target[0] == "POST"], 2*time.Second)
			c.close()
			if err != nil || result.status != 200 {
				return false
			}
		}
	}
	return true
}

// close ends all processes that the stage started.
func (s *stage) close() {
	for _, n := range s.nodes {
		if n.ended() == nil {
			continue
		}
		n.signal(syscall.SIGKILL)
		<-n.ended()
	}
	_ = os.RemoveAll(s.dir)
}

// standardRoutes returns the routes of the first config, as the operator writes them.
func standardRoutes() string {
	return `{"host":"jepu9.example","paths":[` +
		`{"name":"r-view","path-prefix":"/lepu270/","kind":"safe","timeout-s":2.5,"target-latency-s":0.6,"priority":2,"service":"rota-board","max-attempts":2},` +
		`{"name":"r-upload","path-prefix":"/fiti832/ti23/","kind":"upload","timeout-s":5,"target-latency-s":0.8,"priority":1,"service":"ledger-vault","max-attempts":2}]},` +
		`{"host":"hulo84.example","paths":[` +
		`{"name":"r-post","path-prefix":"/xapu221/ny95/","kind":"unsafe","timeout-s":5,"target-latency-s":0.8,"priority":1,"service":"payout-desk","max-attempts":2}]}`
}

// putConfig writes a version of the config. more holds further hosts.
func (s *stage) putConfig(version int, routes, more string) {
	if more != "" {
		routes += "," + more
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health-path":"/health","max-connections":260,"protocol":"h1","tls":false}`, name)
	}
	text := fmt.Sprintf(`{"version":"%08x","services":[%s,%s,%s],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"base-version":"%08x","virtual-hosts":[%s]}`,
		version, service(board), service(desk), service(vault), max(0, version-1), routes)
	s.store.put("keyed.op", "config", []byte(text))
	s.record.add("operator: config %d is acknowledged", version)
}
