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

// cluster runs a log, nodes that reach each other through TCP proxies, and one
// target of each service beside each node.
type cluster struct {
	log     string
	nodes   []*process
	proxies []*tcpProxy
	// targets is ordered by node: the targets of all services at the first node,
	// then those at the second.
	targets []*process
}

// services lists the services and the execution guarantee of their profiles: a
// call of lookups may run more than once, a call of rota runs at most once.
var services = []struct{ name, guarantee string }{{"lookups", "no"}, {"rota", "call"}}

// startCluster returns once every node has answered a call of every service.
func startCluster(t *testing.T, size int) *cluster {
	t.Helper()
	cluster := &cluster{log: start(t, "log", "-listen", "127.0.0.1:0").addresses["log"]}
	for index := range size {
		cluster.proxies, cluster.nodes = append(cluster.proxies, newTCPProxy(t)), append(cluster.nodes, nil)
		cluster.startNode(t, index)
		for _, service := range services {
			cluster.targets = append(cluster.targets, start(t, "target", "-id", fmt.Sprintf("%s/t%d", service.name, index), "-profile", service.name,
				"-admin", cluster.nodes[index].addresses["admin"], "-latency", "2ms", "-slots", "4"))
		}
	}
	for _, service := range services {
		file := filepath.Join(t.TempDir(), service.name+".json")
		profile := fmt.Sprintf(`{"name": %q, "once": %q, "deadline": "2s"}`, service.name, service.guarantee)
		require.NoError(t, os.WriteFile(file, []byte(profile), 0o600))
		output, code := run("publish", "-log", cluster.log, file)
		require.Equal(t, 0, code, output)
	}
	for _, node := range cluster.nodes {
		for _, service := range services {
			callUntilAnswered(t, node, service.name, "ready?")
		}
	}
	return cluster
}

// startNode starts the node with the given index. If a node of that index ran
// before, the new one gets its name and addresses.
func (c *cluster) startNode(t *testing.T, index int) {
	t.Helper()
	call, admin, peer := "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if old := c.nodes[index]; old != nil {
		call, admin, peer = old.addresses["call"], old.addresses["admin"], old.addresses["peer"]
	}
	settings := fmt.Sprintf(`{"name": "n%d", "region": "bavaria", "centre": "west", "log": %q, "call": %q, "peer": %q,
		"public": %q, "admin": %q}`, index, c.log, call, peer, c.proxies[index].address, admin)
	file := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	c.nodes[index] = start(t, "node", "-settings", file)
	c.proxies[index].destination.Store(c.nodes[index].addresses["peer"])
	c.proxies[index].listenAgain(t)
}

// kill ends a node with SIGKILL. Its proxy stops listening first, so that new
// connections to the node are refused, and closes the open connections at the end.
func (c *cluster) kill(t *testing.T, index int) {
	t.Helper()
	c.proxies[index].stopListening()
	c.nodes[index].signal(t, syscall.SIGKILL)
	_ = c.nodes[index].command.Wait()
	c.proxies[index].closeConns()
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(sig))
}

// setBehaviour changes the fields of a target's behaviour that the JSON object names.
func (p *process) setBehaviour(t *testing.T, change string) {
	t.Helper()
	resp, err := http.Post("http://"+p.addresses["target"]+"/_behaviour", "application/json", strings.NewReader(change))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", data)
}

// perCallTransport opens a new connection for each call.
var perCallTransport = &http.Transport{DisableKeepAlives: true}

// traffic runs callers that each send one call after another to the nodes.
type traffic struct {
	cluster *cluster
	// callAddresses holds the call address of each node, which a restart does not
	// change.
	callAddresses []string
	stop          context.CancelFunc
	callers       sync.WaitGroup
	// ended receives the result of each call.
	ended chan callResult

	mu      sync.Mutex
	results []callResult
}

// callResult is the result of a call as its caller saw it.
type callResult struct {
	// callID is empty if no response was received, kind if it carried no error kind.
	callID, service, kind string
	// outcome is the outcome that the node reported, or "gone" if the caller got no
	// complete response.
	outcome string
	status  int
	// wrongBody is true if a 200 response does not echo the body of its request.
	wrongBody bool
	err       error
}

// outcomeCounts counts the calls of a test by outcome and by error kind, and the
// violations. NoResponse counts the calls whose caller got no complete response, or
// one without a valid outcome; RanTwice those that ran more than once although their
// profile forbids it; NeverRan the 200 responses to calls that no target ran;
// WrongBody the 200 responses that do not echo the body of the call.
type outcomeCounts struct {
	Calls, Answered, NotRun, Unknown, NoResponse, RanTwice, NeverRan, WrongBody int
	Kinds                                                                       map[string]int
}

// expectContinueTransport serves requests with an Expect header: the body is sent
// only after the node's 100 Continue. A call whose connection breaks before that
// cannot have run.
var expectContinueTransport = &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}

// startTraffic starts the callers. They stop at traffic.finish or at the end of the
// test.
func (c *cluster) startTraffic(t *testing.T, transport *http.Transport) *traffic {
	t.Helper()
	const callers = 8
	ctx, stop := context.WithCancel(context.Background())
	traffic := &traffic{cluster: c, stop: stop, ended: make(chan callResult, 1<<16)}
	for _, node := range c.nodes {
		traffic.callAddresses = append(traffic.callAddresses, node.addresses["call"])
	}
	client := &http.Client{Transport: transport, Timeout: 4 * time.Second}
	t.Cleanup(stop)
	for caller := range callers {
		traffic.callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				traffic.send(ctx, client, (caller+i)%len(c.nodes), services[i%len(services)].name, fmt.Sprintf("call %d of %d", i, caller))
			}
		})
	}
	return traffic
}

// send sends one call to the node with the given index, and records the result. If
// the node cannot be dialled, or fails before it asks for the body, the call cannot
// have run and goes to the next node. If all nodes fail so, nothing is recorded.
func (tr *traffic) send(ctx context.Context, client *http.Client, index int, service, body string) {
	for range tr.callAddresses {
		// sendsBody is true once the body may have been sent.
		sendsBody := client.Transport != expectContinueTransport
		trace := httptrace.WithClientTrace(context.WithoutCancel(ctx), &httptrace.ClientTrace{Got100Continue: func() { sendsBody = true }})
		req, err := http.NewRequestWithContext(trace, http.MethodPost, "http://"+tr.callAddresses[index]+"/", strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Host = service
		if !sendsBody {
			req.Header.Set("Expect", "100-continue")
		}
		resp, err := client.Do(req) //nolint:bodyclose // readResult closes it
		if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" || err != nil && !sendsBody {
			index = (index + 1) % len(tr.callAddresses)
			continue
		}
		tr.record(readResult(resp, err, service, body))
		return
	}
}

// readResult reads and closes the response, unless err is set, to a call with the
// given body.
func readResult(resp *http.Response, err error, service, body string) callResult {
	result := callResult{service: service, outcome: "gone", err: err}
	if err != nil {
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	result.callID, result.status, result.kind = resp.Header.Get("Carobknot-Call"), resp.StatusCode, resp.Header.Get("Carobknot-Kind")
	if result.err = err; err == nil {
		result.outcome = resp.Header.Get("Carobknot-Outcome")
	}
	result.wrongBody = result.outcome == "answered" && resp.StatusCode == http.StatusOK && string(data) != body
	return result
}

// record appends a result and sends it to waitForCalls.
func (tr *traffic) record(result callResult) {
	tr.mu.Lock()
	tr.results = append(tr.results, result)
	tr.mu.Unlock()
	tr.ended <- result
}

// waitForCalls waits until n more calls have ended with a result that matches. It
// fails the test after a minute.
func (tr *traffic) waitForCalls(t *testing.T, n int, match func(callResult) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for n > 0 {
		select {
		case result := <-tr.ended:
			if match(result) {
				n--
			}
		case <-ctx.Done():
			require.Fail(t, "too few calls ended with a matching result within a minute")
		}
	}
}

// anyResult, isAnswered and hasNoResponse are conditions for waitForCalls.
func anyResult(callResult) bool { return true }

func isAnswered(result callResult) bool {
	return result.outcome == "answered" && result.status == http.StatusOK
}

func hasNoResponse(result callResult) bool { return result.outcome == "gone" }

// finish stops the callers, compares their results with the runs that the targets
// have recorded, and logs the counts as a row of a table.
func (tr *traffic) finish(t *testing.T) outcomeCounts {
	t.Helper()
	tr.stop()
	tr.callers.Wait()
	runs := tr.cluster.runs(t)
	counts := outcomeCounts{Kinds: map[string]int{}}
	for _, result := range tr.results {
		counts.Calls++
		n := runs[result.callID]
		switch result.outcome {
		case "answered":
			counts.Answered++
			if n == 0 && result.status == http.StatusOK {
				counts.NeverRan++
			}
		case "not-run":
			counts.NotRun++
			require.Zero(t, n, "call %s ran, but its outcome is not-run", result.callID)
		case "unknown":
			counts.Unknown++
		default:
			counts.NoResponse++
			t.Logf("no complete response: %v", result.err)
		}
		if result.service == "rota" && n > 1 {
			counts.RanTwice++
		}
		if result.wrongBody {
			counts.WrongBody++
		}
		if result.kind != "" {
			counts.Kinds[result.kind]++
		}
	}
	t.Logf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %v", t.Name(), counts.Calls, counts.Answered, counts.NotRun, counts.Unknown, counts.NoResponse, counts.RanTwice, counts.NeverRan, counts.WrongBody, counts.Kinds)
	require.Zero(t, counts.RanTwice+counts.NeverRan+counts.WrongBody)
	return counts
}

// runs returns how often all targets together ran each call, by call ID.
func (c *cluster) runs(t *testing.T) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, target := range c.targets {
		resp, err := http.Get("http://" + target.addresses["target"] + "/_runs")
		require.NoError(t, err)
		var record struct{ Calls map[string]int }
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&record))
		require.NoError(t, resp.Body.Close())
		for id, n := range record.Calls {
			total[id] += n
		}
	}
	return total
}

// uploads returns the number of calls with a long body that the targets have begun to receive.
func (c *cluster) uploads(t *testing.T) int {
	t.Helper()
	total := 0
	for _, target := range c.targets {
		resp, err := http.Get("http://" + target.addresses["target"] + "/_totals")
		require.NoError(t, err)
		var totals struct{ Uploads int }
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&totals))
		require.NoError(t, resp.Body.Close())
		total += totals.Uploads
	}
	return total
}
