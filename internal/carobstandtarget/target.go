// Package carobstandtarget is a stand-in for a target: a server with slots that
// announces itself to the node on its VM.
package carobstandtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Config is how a target is made.
type Config struct {
	ID      carobtargetid.ID
	Profile carobword.Word
	Slots   int
	Conns   int
	// Latency is how long each call takes.
	Latency time.Duration
	// Admin is the address of the node on the target's VM.
	Admin  carobaddress.Address
	Timer  *carobtimer.Timer
	Logger *logrus.Logger
}

// Target answers calls and keeps a record of the runs.
type Target struct {
	config Config
	server *fasthttp.Server
	mutex  sync.Mutex
	// runs counts the runs of each call.
	runs map[string]int
	// keys counts the runs of each idempotency key.
	keys map[string]int
}

const (
	heartbeat = 500 * time.Millisecond
	patience  = time.Second
)

// NewTarget returns a target that does not listen yet.
func NewTarget(c Config) *Target {
	t := &Target{config: c, runs: map[string]int{}, keys: map[string]int{}}
	t.server = &fasthttp.Server{Handler: t.serve, CloseOnShutdown: true, MaxRequestBodySize: 1 << 30}
	return t
}

// Run answers calls until cx ends; then it announces that it leaves, finishes
// what it has and withdraws.
func (t *Target) Run(cx context.Context, ls net.Listener) error {
	address := carobaddress.Address(ls.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- t.server.Serve(ls) }()
	for cx.Err() == nil {
		t.announce(cx, address, carobreadiness.Ready)
		_ = t.config.Timer.Wait(cx, heartbeat)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(cx), 10*patience)
	defer cancel()
	t.announce(last, address, carobreadiness.Leaving)
	err := t.server.ShutdownWithContext(last)
	t.tell(last, http.MethodDelete, nil)
	return err
}

func (t *Target) announce(cx context.Context, address carobaddress.Address, state carobreadiness.Readiness) {
	data, err := json.Marshal(carobannouncement.Announcement{
		Address: address, Profile: t.config.Profile, Slots: t.config.Slots, Conns: t.config.Conns, State: state,
	})
	if err == nil {
		t.tell(cx, http.MethodPut, data)
	}
}

// tell sends a word to the node. A word that gets lost is made up for by the
// next heartbeat.
func (t *Target) tell(cx context.Context, method string, data []byte) {
	cx, cancel := context.WithTimeout(cx, patience)
	defer cancel()
	path := "http://" + string(t.config.Admin) + "/targets/" + t.config.ID.String()
	rq, err := http.NewRequestWithContext(cx, method, path, bytes.NewReader(data))
	if err != nil {
		return
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.config.Logger.WithError(err).Warn("target: node cannot be told")
		return
	}
	_ = rs.Body.Close()
}

func (t *Target) serve(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/_runs" {
		t.report(rc)
		return
	}
	t.record(string(rc.Request.Header.Peek(carobheader.Call)), string(rc.Request.Header.Peek(carobheader.Key)))
	if t.config.Latency > 0 {
		_ = t.config.Timer.Wait(context.Background(), t.config.Latency)
	}
	rc.Response.Header.Set("X-Target", t.config.ID.String())
	rc.SetBody(rc.PostBody())
}

func (t *Target) record(call, key string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs[call]++
	if key != "" {
		t.keys[key]++
	}
}

// report answers with the record of runs.
func (t *Target) report(rc *fasthttp.RequestCtx) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	data, err := json.Marshal(map[string]map[string]int{"calls": t.runs, "keys": t.keys})
	if err != nil {
		rc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	rc.SetBody(data)
}
