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

// deployment is the size of one customer's system.
type deployment struct {
	name    string
	centres int
	// services are in order; the first one gets the load.
	services []service
	conns    int
}

type service struct {
	name    string
	targets int
}

var deployments = []deployment{
	{name: "lechfeld", centres: 4, conns: 200, services: []service{{"lookups", 4}, {"declarations", 4}, {"evidence", 4}}},
	{name: "hanbit", centres: 3, conns: 250, services: []service{{"rota", 6}, {"payouts", 3}, {"ledgers", 3}}},
}

const (
	profileName = "bench"
	slots       = 12
	// settle is how long a new cluster may take until it answers.
	settle = 20 * time.Second
	pause  = 50 * time.Millisecond
	secret = 0o600
)

// cluster is a running deployment.
type cluster struct {
	bench      *Bench
	deployment deployment
	log        *process
	nodes      []*process
	// targets are those of the first service.
	targets []*process
	others  []*process
	// base is the offset of the profile in force.
	base   int64
	errors *os.File
}

// start starts all processes and waits until every node answers.
func (b *Bench) start(cx context.Context, dp deployment) (*cluster, error) {
	cl := &cluster{bench: b, deployment: dp, base: -1}
	if err := cl.launch(cx); err != nil {
		cl.stop()
		return nil, err
	}
	return cl, nil
}

func (c *cluster) launch(cx context.Context) error {
	var err error
	b := c.bench
	if c.errors, err = os.Create(filepath.Join(b.config.Folder, c.deployment.name+".log")); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "open log file")
	}
	if c.log, err = launch(cx, b.config.Program, c.errors, "log", "-listen", "127.0.0.1:0"); err != nil {
		return err
	}
	number := 0
	for i, sv := range c.deployment.services {
		for t := range sv.targets {
			number++
			if err := c.pair(cx, number, t, sv, i == 0); err != nil {
				return err
			}
		}
	}
	if err := c.publish(cx, variants[0]); err != nil {
		return err
	}
	return c.settle(cx)
}

// pair starts a node and the target beside it.
func (c *cluster) pair(cx context.Context, number, t int, sv service, first bool) error {
	b := c.bench
	name := fmt.Sprintf("n%d", number)
	settings := fmt.Sprintf(`{"name": %q, "region": "here", "centre": "c%d", "log": %q,
		"call": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "measure": {"rate": "%dB/s", "share": "1%%"}}`,
		name, t%c.deployment.centres, c.log.addresses["log"], int(b.config.Measure))
	file := filepath.Join(b.config.Folder, name+".json")
	if err := os.WriteFile(file, []byte(settings), secret); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "write settings")
	}
	node, err := launch(cx, b.config.Program, c.errors, "node", "-settings", file)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, node)
	target, err := launch(cx, b.config.Program, c.errors, "target",
		"-id", fmt.Sprintf("%s/t%d", sv.name, t), "-profile", profileName, "-admin", node.addresses["admin"],
		"-slots", strconv.Itoa(slots), "-conns", strconv.Itoa(c.deployment.conns),
		"-latency", b.config.Mean.String(), "-shape", "lognormal", "-sigma", "0.8",
		"-seed", strconv.FormatUint(b.config.Seed+uint64(number), 10)) //nolint:gosec // not negative
	if err != nil {
		return err
	}
	if first {
		c.targets = append(c.targets, target)
	} else {
		c.others = append(c.others, target)
	}
	return nil
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, group := range [][]*process{c.others, c.targets, c.nodes} {
		for _, p := range group {
			p.stop()
		}
	}
	if c.log != nil {
		c.log.stop()
	}
	if c.errors != nil {
		_ = c.errors.Close()
	}
}

var offsetTold = regexp.MustCompile(`offset (\d+)`)

// publish puts a variant's profile in force.
func (c *cluster) publish(cx context.Context, vr variant) error {
	data, err := vr.profile(c.base)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "encode profile")
	}
	file := filepath.Join(c.bench.config.Folder, "profile.json")
	if err := os.WriteFile(file, data, secret); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "write profile")
	}
	out, err := output(cx, c.bench.config.Program, "publish", "-log", c.log.addresses["log"], file)
	if err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "publish: "+out)
	}
	told := offsetTold.FindStringSubmatch(out)
	if told == nil {
		return carobkind.New(carobkind.Internal, "publish tells no offset: %s", out)
	}
	c.base, err = strconv.ParseInt(told[1], 10, 64)
	return err
}

// settle waits until every node gets answers from every target of the service.
func (c *cluster) settle(cx context.Context) error {
	timer := c.bench.config.Timer
	until := timer.Now().Add(settle)
	for _, nd := range c.nodes {
		for !c.knowsAll(cx, nd) {
			if until.Reached(timer.Now()) {
				return carobkind.New(carobkind.NotReady, "node at %s does not know all targets", nd.addresses["call"])
			}
			if err := timer.Wait(cx, pause); err != nil {
				return err
			}
		}
	}
	return nil
}

// knowsAll reports whether a node knows all targets and the profile in force.
func (c *cluster) knowsAll(cx context.Context, nd *process) bool {
	st, err := statusOf(cx, nd)
	return err == nil && len(st.Targets) == len(c.targets)+len(c.others) && st.holds(c.base)
}

// nodeStatus is the part of a node's status that the bench uses.
type nodeStatus struct {
	Targets  []struct{} `json:"targets"`
	Profiles []struct {
		Name   string `json:"name"`
		Offset int64  `json:"offset"`
	} `json:"profiles"`
	Measured struct {
		Bytes  float64 `json:"bytes"`
		Probes int     `json:"probes"`
		Hedges int     `json:"hedges"`
	} `json:"measured"`
}

// holds reports whether the bench's profile is in force as of an offset.
func (s nodeStatus) holds(offset int64) bool {
	for _, pf := range s.Profiles {
		if pf.Name == profileName && pf.Offset >= offset {
			return true
		}
	}
	return false
}

func statusOf(cx context.Context, nd *process) (st nodeStatus, err error) {
	return st, fetch(cx, http.MethodGet, "http://"+nd.addresses["admin"]+"/status", "", &st)
}

// totals are the counts that a target keeps.
type totals struct {
	Started  int `json:"started"`
	Failed   int `json:"failed"`
	Shed     int `json:"shed"`
	Finished int `json:"finished"`
}

func totalsOf(cx context.Context, tg *process) (tt totals, err error) {
	return tt, fetch(cx, http.MethodGet, "http://"+tg.addresses["target"]+"/_totals", "", &tt)
}

func behave(cx context.Context, tg *process, change string) error {
	var state map[string]any
	return fetch(cx, http.MethodPut, "http://"+tg.addresses["target"]+"/_behaviour", change, &state)
}

func fetch(cx context.Context, method, url, body string, into any) error {
	cx, cancel := context.WithTimeout(cx, 5*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(cx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "make request")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return carobkind.Wrap(carobkind.Unreachable, err, "ask "+url)
	}
	defer func() { _ = rs.Body.Close() }()
	if err := json.NewDecoder(rs.Body).Decode(into); err != nil {
		return carobkind.Wrap(carobkind.Internal, err, "decode answer of "+url)
	}
	return nil
}

// calls returns the call addresses of all nodes.
func (c *cluster) calls() []carobaddress.Address {
	var ads []carobaddress.Address
	for _, nd := range c.nodes {
		ads = append(ads, carobaddress.Address(nd.addresses["call"]))
	}
	return ads
}
