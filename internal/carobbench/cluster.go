package carobbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// deployment is a cluster of the size of one customer's system.
type deployment struct {
	name string
	// centres is the number of data centres.
	centres int
	// services are all services; the first one receives the load.
	services []service
	// connectionLimit is the connection limit of each target.
	connectionLimit int
}

// service is one of the services of a deployment.
type service struct {
	name string
	// targets is the number of targets in all data centres.
	targets int
}

// deployments is the table of all deployments.
var deployments = []deployment{
	{name: "lechfeld", centres: 4, connectionLimit: 200, services: []service{{"lookups", 4}, {"declarations", 4}, {"evidence", 4}}},
	{name: "hanbit", centres: 3, connectionLimit: 250, services: []service{{"rota", 6}, {"payouts", 3}, {"ledgers", 3}}},
}

const (
	profileName = "bench"
	// slots is the number of slots of each target.
	slots = 12
	// readyTimeout is how long nodes may take until they have all targets and the
	// newest profile.
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	fileMode     = 0o600
)

// cluster is a running deployment.
type cluster struct {
	bench      *Bench
	deployment deployment
	log        *process
	nodes      []*process
	// targets are those of the first service, otherTargets those of all others.
	targets      []*process
	otherTargets []*process
	// profileOffset is the offset of the newest profile in the log; -1 if there is
	// none.
	profileOffset int64
	// logFile receives what the processes write to their standard error.
	logFile *os.File
}

// startCluster starts a cluster and waits until every node has all targets and the
// profile.
func (b *Bench) startCluster(ctx context.Context, deployment deployment) (*cluster, error) {
	cluster := &cluster{bench: b, deployment: deployment, profileOffset: -1}
	if err := cluster.startProcesses(ctx); err != nil {
		cluster.stop()
		return nil, err
	}
	return cluster, nil
}

// startProcesses starts the log, the nodes and the targets, and publishes the first
// profile.
func (c *cluster) startProcesses(ctx context.Context) error {
	var err error
	b := c.bench
	if c.logFile, err = os.Create(filepath.Join(b.config.Folder, c.deployment.name+".log")); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "open log file")
	}
	if c.log, err = startProcess(ctx, b.config.Program, c.logFile, "log", "-listen", "127.0.0.1:0"); err != nil {
		return err
	}
	number := 0
	for i, service := range c.deployment.services {
		for index := range service.targets {
			number++
			if err := c.startPair(ctx, number, index, service, i == 0); err != nil {
				return err
			}
		}
	}
	if err := c.publish(ctx, variants[0]); err != nil {
		return err
	}
	return c.waitUntilReady(ctx)
}

// startPair starts a node and the target beside it. The target's index within its
// service determines the data centre; loaded is true if the service receives the load.
func (c *cluster) startPair(ctx context.Context, number, index int, service service, loaded bool) error {
	b := c.bench
	name := fmt.Sprintf("n%d", number)
	settings := fmt.Sprintf(`{"name": %q, "region": "here", "centre": "c%d", "log": %q,
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "measure": {"rate": "%dB/s", "share": "1%%"}}`,
		name, index%c.deployment.centres, c.log.addresses["log"], int(b.config.ProbeRate))
	file := filepath.Join(b.config.Folder, name+".json")
	if err := os.WriteFile(file, []byte(settings), fileMode); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "write settings")
	}
	node, err := startProcess(ctx, b.config.Program, c.logFile, "node", "-settings", file)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, node)
	target, err := startProcess(ctx, b.config.Program, c.logFile, "target",
		"-id", fmt.Sprintf("%s/t%d", service.name, index), "-profile", profileName, "-admin", node.addresses["admin"],
		"-slots", strconv.Itoa(slots), "-conns", strconv.Itoa(c.deployment.connectionLimit),
		"-latency", b.config.MeanLatency.String(), "-shape", "lognormal", "-sigma", "0.8",
		"-seed", strconv.FormatUint(b.config.Seed+uint64(number), 10)) //nolint:gosec // not negative
	if err != nil {
		return err
	}
	if loaded {
		c.targets = append(c.targets, target)
	} else {
		c.otherTargets = append(c.otherTargets, target)
	}
	return nil
}

// stop ends all processes that were started, and closes the log file.
func (c *cluster) stop() {
	for _, group := range [][]*process{c.otherTargets, c.targets, c.nodes} {
		for _, p := range group {
			p.stop()
		}
	}
	if c.log != nil {
		c.log.stop()
	}
	if c.logFile != nil {
		_ = c.logFile.Close()
	}
}

var offsetPattern = regexp.MustCompile(`offset (\d+)`)

// publish publishes a variant's profile and stores its offset.
func (c *cluster) publish(ctx context.Context, variant variant) error {
	data, err := variant.profile(c.profileOffset)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode profile")
	}
	file := filepath.Join(c.bench.config.Folder, "profile.json")
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "write profile")
	}
	out, err := runCommand(ctx, c.bench.config.Program, "publish", "-log", c.log.addresses["log"], file)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "publish: "+out)
	}
	match := offsetPattern.FindStringSubmatch(out)
	if match == nil {
		return carobkind.New(carobkind.Internal, "publish printed no offset: %s", out)
	}
	c.profileOffset, err = strconv.ParseInt(match[1], 10, 64)
	return err
}

// waitUntilReady waits until every node has all targets and the newest profile. It
// returns an error of kind NotReady after readyTimeout.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	timer := c.bench.config.Timer
	deadline := timer.Now().Add(readyTimeout)
	for _, node := range c.nodes {
		for !c.isReady(ctx, node) {
			if deadline.Reached(timer.Now()) {
				return carobkind.New(carobkind.NotReady, "node at %s does not have all targets and the newest profile", node.addresses["call"])
			}
			if err := timer.Wait(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// isReady reports whether a node has all targets and the newest profile.
func (c *cluster) isReady(ctx context.Context, node *process) bool {
	status, err := statusOf(ctx, node)
	return err == nil && len(status.Targets) == len(c.targets)+len(c.otherTargets) && status.hasProfile(c.profileOffset)
}

// nodeStatus is the part of a node's status that the bench uses.
type nodeStatus struct {
	Targets  []struct{} `json:"targets"`
	Profiles []struct {
		Name   string `json:"name"`
		Offset int64  `json:"offset"`
	} `json:"profiles"`
	Overhead struct {
		Bytes  float64 `json:"bytes"`
		Probes int     `json:"probes"`
		Hedges int     `json:"hedges"`
	} `json:"measured"`
}

// hasProfile reports whether the node has the bench's profile of the given offset or a
// later one.
func (s nodeStatus) hasProfile(offset int64) bool {
	for _, profile := range s.Profiles {
		if profile.Name == profileName && profile.Offset >= offset {
			return true
		}
	}
	return false
}

func statusOf(ctx context.Context, node *process) (status nodeStatus, err error) {
	return status, fetch(ctx, http.MethodGet, "http://"+node.addresses["admin"]+"/status", "", &status)
}

// totals are the counters of a target.
type totals struct {
	Started  int `json:"started"`
	Failed   int `json:"failed"`
	Shed     int `json:"shed"`
	Finished int `json:"finished"`
}

func totalsOf(ctx context.Context, target *process) (counters totals, err error) {
	return counters, fetch(ctx, http.MethodGet, "http://"+target.addresses["target"]+"/_totals", "", &counters)
}

// setBehaviour changes the behaviour of a target.
func setBehaviour(ctx context.Context, target *process, change string) error {
	var state map[string]any
	return fetch(ctx, http.MethodPut, "http://"+target.addresses["target"]+"/_behaviour", change, &state)
}

// fetch sends a request and decodes the JSON body of its response, of any status.
func fetch(ctx context.Context, method, url, body string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "make request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return carobkind.Wrap(carobkind.Unreachable, err, "ask "+url)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(value); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "decode answer of "+url)
	}
	return nil
}

// callAddresses returns the call addresses of all nodes.
func (c *cluster) callAddresses() []carobaddress.Address {
	var addresses []carobaddress.Address
	for _, node := range c.nodes {
		addresses = append(addresses, carobaddress.Address(node.addresses["call"]))
	}
	return addresses
}
