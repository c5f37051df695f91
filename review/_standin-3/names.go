package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// formerMachines is the number of machines that releases have replaced since the deployment
	// began. Each has left the record of its node in the store.
	formerMachines = 3900
	// recoveryTime is recovery-s of the settings, and downTime how long the processes are gone.
	recoveryTime, downTime = 15 * time.Second, 1100 * time.Millisecond
	// judgedTime is how long requests are sent before the final fault, and after recoveryTime.
	judgedTime = 8 * time.Second
)

// namesServices are the services; each has two servers.
var namesServices = []string{"berths", "catches", "desk", "fleet", "gauges", "haul", "index", "jetty", "keel", "logbook"}

// names plays a deployment whose machines have been replaced for a long time, in which all
// processes of the system are killed at once. It is broken if, later than recovery-s after they are
// back, less than a quarter of the requests is served, though a quarter or more was before.
func names(r *rig) (bool, error) {
	var services []string
	for _, service := range namesServices {
		services = append(services, service, service)
	}
	if err := r.startNodes(namesConfig(), services); err != nil {
		return false, err
	}
	for i, n := range r.nodes {
		s := newServer(r, fmt.Sprintf("i-%d", i+1), n.service, n, 12, func(string) time.Duration { return 30 * time.Millisecond })
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.stop()
	}
	if err := r.awaitReady(); err != nil {
		return false, err
	}
	if err := r.addFormerMachines(); err != nil {
		return false, err
	}
	before := r.shareServed(judgedTime)
	if r.trouble {
		for _, n := range r.nodes {
			r.signal(n, syscall.SIGKILL)
		}
		for _, n := range r.nodes {
			_ = n.command.Wait()
		}
		time.Sleep(downTime)
		for _, n := range r.nodes {
			if err := r.startNode(n); err != nil {
				return false, err
			}
		}
		r.note("the machines are back")
	}
	time.Sleep(recoveryTime)
	after := r.shareServed(judgedTime)
	r.note("served before", before, "after", after)
	fmt.Printf("share served before %.3f, later than recovery-s after %.3f\n", before, after)
	return before >= 0.25 && after < 0.25, nil
}

func namesConfig() string {
	var paths, servers []string
	for _, service := range namesServices {
		servers = append(servers, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-connections":220,"protocol":"h1","tls":false}`, service))
		paths = append(paths, fmt.Sprintf(`{"name":"r-%s","path-prefix":"/%[1]s/","kind":"safe","timeout-s":1,"target-latency-s":0.4,"priority":2,"service":%[2]q,"max-attempts":2}`, service, service))
	}
	return `{"version":"00000007","services":[` + strings.Join(servers, ",") + `],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,` +
		`"header-timeout-s":3,"idle-timeout-s":15},"virtual-hosts":[{"host":"desk.example","paths":[` + strings.Join(paths, ",") + `]}]}`
}

// addFormerMachines adds the records that the nodes of former machines wrote: those of the present
// ones with other names and addresses, and earlier starts.
func (r *rig) addFormerMachines() error {
	model := map[string]any{}
	if err := json.Unmarshal(r.store.newestOf("keyed.nodes", r.nodes[0].name), &model); err != nil {
		return err
	}
	r.note("record of a node", string(r.store.newestOf("keyed.nodes", r.nodes[0].name)))
	var a, b int
	if _, err := fmt.Sscanf(r.nodes[0].ip, "127.%d.%d.", &a, &b); err != nil {
		return err
	}
	for i := range formerMachines {
		name := fmt.Sprintf("sidecar-former-%d", i)
		record := map[string]any{}
		for key, value := range model {
			switch text, ok := value.(string); {
			case ok && text == r.nodes[0].name:
				value = name
			case ok && text == r.nodes[0].ip+":7620":
				// Nothing listens there. The present nodes are in another network.
				value = fmt.Sprintf("127.%d.%d.%d:7620", a, (b+1+i/200)%250, 40+i%200)
			}
			record[key] = value
		}
		data, err := json.Marshal(record)
		if err != nil {
			return err
		}
		r.store.put("keyed.nodes", name, data)
	}
	return nil
}

// shareServed sends requests to all nodes for a time, for all services alike, and returns the share
// that is served.
func (r *rig) shareServed(length time.Duration) float64 {
	var clients sync.WaitGroup
	var mutex sync.Mutex
	sent, served := 0, 0
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Second / 120)
		clients.Add(1)
		go func() {
			defer clients.Done()
			service := namesServices[rand.IntN(len(namesServices))]
			n := r.nodes[rand.IntN(len(r.nodes))]
			a := send(n, "GET", "/"+service+"/1", "", 1500*time.Millisecond)
			r.note("answer", n.name, service, a.id, a.status, a.err)
			mutex.Lock()
			defer mutex.Unlock()
			sent++
			if a.status == 200 && a.stamp != "" {
				served++
			}
		}()
	}
	clients.Wait()
	return float64(served) / float64(sent)
}
