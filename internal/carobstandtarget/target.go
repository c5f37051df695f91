// Package carobstandtarget is a stand-in for a target: a server with slots that
// announces itself to the node on its VM and plays faults on command.
package carobstandtarget

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

// Config is how a target is made.
type Config struct {
	ID      carobtargetid.ID
	Profile carobname.Name
	Slots   int
	Conns   int
	// Behaviour is the one to begin with.
	Behaviour carobbehaviour.Behaviour
	// Seed is what all random times follow from.
	Seed uint64
	// Admin is the address of the node on the target's VM.
	Admin  carobaddress.Address
	Timer  *carobtimer.Timer
	Logger *logrus.Logger
}

// Target answers calls and keeps a record of the runs.
type Target struct {
	config Config
	server *fasthttp.Server
	// slots has an element for each call that runs; calls above wait.
	slots chan struct{}
	clock *clock

	mutex sync.Mutex
	// behaviour is the one in force.
	behaviour carobbehaviour.Behaviour
	// changed is closed and replaced with every change of the behaviour.
	changed chan struct{}
	record  record
}

const (
	heartbeat = 500 * time.Millisecond
	patience  = time.Second
	// longest is the longest body that is taken.
	longest = 1 << 30
)

// NewTarget returns a target that does not listen yet.
func NewTarget(c Config) *Target {
	if c.Behaviour.Shape == "" {
		c.Behaviour = carobbehaviour.NewBehaviour()
	}
	t := &Target{
		config: c, slots: make(chan struct{}, max(1, c.Slots)), behaviour: c.Behaviour,
		clock: newClock(c.Seed, c.Timer.Now()), changed: make(chan struct{}),
		record: record{Calls: map[string]int{}, Keys: map[string]int{}},
	}
	t.server = &fasthttp.Server{
		Handler: t.serve, CloseOnShutdown: true, MaxRequestBodySize: longest, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, NoDefaultServerHeader: true,
	}
	return t
}

// Run answers calls until cx ends; then it announces that it leaves, finishes
// what it has and withdraws.
func (t *Target) Run(cx context.Context, ls net.Listener) error {
	address := carobaddress.Address(ls.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- t.server.Serve(ls) }()
	for cx.Err() == nil {
		t.beat(cx, address)
	}
	return t.leave(cx, address)
}

// now returns the behaviour in force and what tells of its end.
func (t *Target) now() (carobbehaviour.Behaviour, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.behaviour, t.changed
}
