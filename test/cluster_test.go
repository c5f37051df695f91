package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cluster is a log, nodes that reach each other through wires, and a target of
// each service beside each node.
type cluster struct {
	log   string
	nodes []*process
	wires []*wire
	// targets has those of one node after those of another.
	targets []*process
}

// kinds has the services, and how often the profile lets their calls run.
var kinds = []struct{ service, once string }{{"lookups", "no"}, {"rota", "call"}}

func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{log: start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]}
	for i := range size {
		c.wires, c.nodes = append(c.wires, newWire(t)), append(c.nodes, nil)
		c.startNode(t, i)
		for _, k := range kinds {
			c.targets = append(c.targets, start(t, "target", "-id", fmt.Sprintf("%s/t%d", k.service, i), "-profile", k.service,
				"-admin", c.nodes[i].addresses["admin"], "-latency", "2ms", "-slots", "4"))
		}
	}
	for _, k := range kinds {
		file := filepath.Join(t.TempDir(), k.service+".json")
		profile := fmt.Sprintf(`{"name": %q, "once": %q, "deadline": "2s"}`, k.service, k.once)
		require.NoError(t, os.WriteFile(file, []byte(profile), 0o600))
		output, code := run("publish", "-log", c.log, file)
		require.Equal(t, 0, code, output)
	}
	for _, node := range c.nodes {
		for _, k := range kinds {
			askUntilAnswered(t, node, k.service, "ready?")
		}
	}
	return c
}

// startNode starts the node at a place, anew if one was there before, with the
// same name and the same addresses.
func (c *cluster) startNode(t *testing.T, i int) {
	t.Helper()
	call, admin, peer := "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if old := c.nodes[i]; old != nil {
		call, admin, peer = old.addresses["call"], old.addresses["admin"], old.addresses["peer"]
	}
	settings := fmt.Sprintf(`{"name": "n%d", "region": "bavaria", "centre": "west", "log": %q, "call": %q, "peer": %q,
		"public": %q, "admin": %q}`, i, c.log, call, peer, c.wires[i].address, admin)
	file := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	c.nodes[i] = start(t, "node", "-settings", file)
	c.wires[i].behind.Store(c.nodes[i].addresses["peer"])
	c.wires[i].accept(t)
}

// kill ends a node at once. Its address refuses connections then.
func (c *cluster) kill(t *testing.T, i int) {
	t.Helper()
	c.wires[i].refuse()
	c.nodes[i].signal(t, syscall.SIGKILL)
	_ = c.nodes[i].command.Wait()
	c.wires[i].cut()
}

func (p *process) signal(t *testing.T, sg syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(sg))
}

// behave changes how a target behaves.
func (p *process) behave(t *testing.T, change string) {
	t.Helper()
	rs, err := http.Post("http://"+p.addresses["target"]+"/_behaviour", "application/json", strings.NewReader(change))
	require.NoError(t, err)
	defer func() { _ = rs.Body.Close() }()
	data, _ := io.ReadAll(rs.Body)
	require.Equal(t, http.StatusOK, rs.StatusCode, "%s", data)
}

// direct has a new connection for each call.
var direct = &http.Transport{DisableKeepAlives: true}

// traffic is callers that ask the cluster without a break.
type traffic struct {
	cluster *cluster
	// calls are where the nodes take calls. A node that is started anew has the
	// same address.
	calls   []string
	stop    context.CancelFunc
	callers sync.WaitGroup
	// done gets a value for each call that has ended.
	done chan told

	mutex sync.Mutex
	all   []told
}

// told is what a caller learned.
type told struct {
	call, service, kind string
	// outcome is "gone" if the caller learned nothing.
	outcome string
	status  int
	mixed   bool
	err     error
}

// score counts what became of the calls of a failure.
type score struct {
	Calls, Answered, NotRun, Unknown, Gone, Doubled, Lost, Mixed int
	Kinds                                                        map[string]int
}

// asking makes callers send their bodies only once they are asked to. A caller whose
// connection breaks before that knows that its call can not have run.
var asking = &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}

func (c *cluster) traffic(t *testing.T, transport *http.Transport) *traffic {
	t.Helper()
	const callers = 8
	cx, stop := context.WithCancel(context.Background())
	tr := &traffic{cluster: c, stop: stop, done: make(chan told, 1<<16)}
	for _, node := range c.nodes {
		tr.calls = append(tr.calls, node.addresses["call"])
	}
	client := &http.Client{Transport: transport, Timeout: 4 * time.Second}
	t.Cleanup(stop)
	for caller := range callers {
		tr.callers.Go(func() {
			for i := 0; cx.Err() == nil; i++ {
				tr.call(cx, client, (caller+i)%len(c.nodes), kinds[i%len(kinds)].service, fmt.Sprintf("call %d of %d", i, caller))
			}
		})
	}
	return tr
}

// call sends one call. A node that takes no connection is passed over:
// nothing was sent to it.
func (tr *traffic) call(cx context.Context, client *http.Client, at int, service, body string) {
	for range tr.calls {
		asked := client.Transport != asking
		trace := httptrace.WithClientTrace(context.WithoutCancel(cx), &httptrace.ClientTrace{Got100Continue: func() { asked = true }})
		rq, err := http.NewRequestWithContext(trace, http.MethodPost, "http://"+tr.calls[at]+"/", strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		rq.Host = service
		if !asked {
			rq.Header.Set("Expect", "100-continue")
		}
		rs, err := client.Do(rq) //nolint:bodyclose // learn closes it
		if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" || err != nil && !asked {
			at = (at + 1) % len(tr.calls)
			continue
		}
		tr.note(learn(rs, err, service, body))
		return
	}
}

func learn(rs *http.Response, err error, service, body string) told {
	td := told{service: service, outcome: "gone", err: err}
	if err != nil {
		return td
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	td.call, td.status, td.kind = rs.Header.Get("Carobknot-Call"), rs.StatusCode, rs.Header.Get("Carobknot-Kind")
	if td.err = err; err == nil {
		td.outcome = rs.Header.Get("Carobknot-Outcome")
	}
	td.mixed = td.outcome == "answered" && rs.StatusCode == http.StatusOK && string(data) != body
	return td
}

func (tr *traffic) note(td told) {
	tr.mutex.Lock()
	tr.all = append(tr.all, td)
	tr.mutex.Unlock()
	tr.done <- td
}

// await waits until so many more calls have ended in a way.
func (tr *traffic) await(t *testing.T, n int, way func(told) bool) {
	t.Helper()
	cx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for n > 0 {
		select {
		case td := <-tr.done:
			if way(td) {
				n--
			}
		case <-cx.Done():
			require.Fail(t, "calls do not end as awaited")
		}
	}
}

func ended(told) bool       { return true }
func answered(td told) bool { return td.outcome == "answered" && td.status == http.StatusOK }
func lost(td told) bool     { return td.outcome == "gone" }

// finish ends the callers and holds what they were told against the runs that
// the targets have on record.
func (tr *traffic) finish(t *testing.T) score {
	t.Helper()
	tr.stop()
	tr.callers.Wait()
	runs := tr.cluster.runs(t)
	sc := score{Kinds: map[string]int{}}
	for _, td := range tr.all {
		sc.Calls++
		n := runs[td.call]
		switch td.outcome {
		case "answered":
			sc.Answered++
			if n == 0 && td.status == http.StatusOK {
				sc.Lost++
			}
		case "not-run":
			sc.NotRun++
			require.Zero(t, n, "call %s was told not-run and ran", td.call)
		case "unknown":
			sc.Unknown++
		default:
			sc.Gone++
			t.Logf("gone: %v", td.err)
		}
		if td.service == "rota" && n > 1 {
			sc.Doubled++
		}
		if td.mixed {
			sc.Mixed++
		}
		if td.kind != "" {
			sc.Kinds[td.kind]++
		}
	}
	t.Logf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %v", t.Name(), sc.Calls, sc.Answered, sc.NotRun, sc.Unknown, sc.Gone, sc.Doubled, sc.Lost, sc.Mixed, sc.Kinds)
	require.Zero(t, sc.Doubled+sc.Lost+sc.Mixed)
	return sc
}

// runs adds up what the targets have run, by call.
func (c *cluster) runs(t *testing.T) map[string]int {
	t.Helper()
	sum := map[string]int{}
	for _, tg := range c.targets {
		rs, err := http.Get("http://" + tg.addresses["target"] + "/_runs")
		require.NoError(t, err)
		var record struct{ Calls map[string]int }
		require.NoError(t, json.NewDecoder(rs.Body).Decode(&record))
		require.NoError(t, rs.Body.Close())
		for call, n := range record.Calls {
			sum[call] += n
		}
	}
	return sum
}
