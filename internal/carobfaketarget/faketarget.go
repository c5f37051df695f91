// Package carobfaketarget is a stand-in for a target: a server with a limited number
// of slots that announces itself to the node on its VM. Its service times and faults
// can be changed over HTTP.
package carobfaketarget

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobbehaviour"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Config holds the settings of a target.
type Config struct {
	ID carobtargetid.ID
	// Profile, Slots and Connections are announced to the node. Slots is also the
	// number of calls that run at once; below 1 it counts as 1.
	Profile     carobname.Name
	Slots       int
	Connections int
	// Behaviour is the initial behaviour; the default one if its Shape is empty.
	Behaviour carobbehaviour.Behaviour
	// Seed seeds all random times.
	Seed uint64
	// Admin is the admin address of the node on the target's VM.
	Admin  carobaddress.Address
	Timer  *carobtimer.Timer
	Logger *logrus.Logger
}

// FakeTarget answers calls and counts their runs.
type FakeTarget struct {
	config Config
	server *fasthttp.Server
	// slots is a semaphore with an element for each running call; further calls wait.
	slots   chan struct{}
	sampler *sampler

	// mutex guards the fields below.
	mutex sync.Mutex
	// behaviour is the behaviour in force.
	behaviour carobbehaviour.Behaviour
	// changed is closed and replaced at every change of the behaviour.
	changed chan struct{}
	record  record
}

const (
	heartbeatInterval = 500 * time.Millisecond
	// nodeTimeout is how long a request to the node may take.
	nodeTimeout = time.Second
	// maxBody is the length in bytes of the longest accepted request body.
	maxBody = 1 << 30
)

// NewFakeTarget returns a target that does not listen yet.
func NewFakeTarget(c Config) *FakeTarget {
	if c.Behaviour.Shape == "" {
		c.Behaviour = carobbehaviour.NewBehaviour()
	}
	t := &FakeTarget{
		config: c, slots: make(chan struct{}, max(1, c.Slots)), behaviour: c.Behaviour,
		sampler: newSampler(c.Seed, c.Timer.Now()), changed: make(chan struct{}),
		record: record{Calls: map[string]int{}, Keys: map[string]int{}},
	}
	t.server = &fasthttp.Server{
		Handler: t.serve, CloseOnShutdown: true, MaxRequestBodySize: maxBody, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, NoDefaultServerHeader: true,
	}
	return t
}

// Run answers calls until ctx ends. Then it announces that the target is leaving, waits
// for running calls to end, and withdraws the target from its node.
func (t *FakeTarget) Run(ctx context.Context, listener net.Listener) error {
	address := carobaddress.Address(listener.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- t.server.Serve(listener) }()
	for ctx.Err() == nil {
		t.sendHeartbeat(ctx, address)
	}
	return t.shutDown(ctx, address)
}

// currentBehaviour returns the behaviour in force and a channel that is closed when it
// changes.
func (t *FakeTarget) currentBehaviour() (carobbehaviour.Behaviour, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.behaviour, t.changed
}
