// Package caroblimits holds the limits of a node's state and of its callers' calls.
package caroblimits

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Limits bounds the tables of a node, and the connections and calls of callers.
type Limits struct {
	// Calls is the maximum number of concurrent calls with this node as entry.
	Calls int `json:"calls"`
	// Jobs is the maximum number of jobs at the node's own targets, running and
	// queued.
	Jobs int `json:"jobs"`
	// Targets is the maximum number of targets in the node's tables.
	Targets int `json:"targets"`
	// Peers is the maximum number of other nodes in the node's tables.
	Peers int `json:"peers"`
	// Connections is the maximum number of open connections of callers.
	Connections int `json:"conns"`
	// Descriptors is the number of file descriptors that the process may use. It bounds the
	// idle connections that the node keeps to targets and other nodes.
	Descriptors int `json:"files"`
	// Cores is the maximum number of processor cores that run the node's goroutines
	// at once (GOMAXPROCS).
	Cores int `json:"cores"`
	// HeaderSize is the maximum size of the header of a call.
	HeaderSize carobsize.Size `json:"header"`
	// BodySize is the maximum size of the body of a call.
	BodySize carobsize.Size `json:"body"`
	// TotalBufferedSize is the maximum total size of the bodies of all calls that are
	// buffered for another attempt. A body beyond it is streamed; a front end
	// that needs whole bodies refuses the call instead.
	TotalBufferedSize carobsize.Size `json:"kept"`
	// ConnectionMemory is the maximum total size of what the connections of callers hold:
	// buffers, headers with their fields, bodies and responses. Connections that need more
	// wait, and others yield.
	ConnectionMemory carobsize.Size `json:"memory"`
	// HeaderTimeout is the timeout for receiving the header of a call.
	HeaderTimeout carobduration.Duration `json:"head"`
	// StallTimeout is the time without progress after which the transfer of a body
	// is aborted.
	StallTimeout carobduration.Duration `json:"stall"`
	// IdleTimeout is how long an unused connection of a caller stays open.
	IdleTimeout carobduration.Duration `json:"idle"`
}

// NewLimits returns the default limits, which suffice for several times the size of
// the largest known deployment.
func NewLimits() Limits {
	return Limits{
		Calls:             20_000,
		Jobs:              20_000,
		Targets:           4_000,
		Peers:             4_000,
		Connections:       4_000,
		Descriptors:       8_192,
		Cores:             1,
		HeaderSize:        16 * carobsize.KiB,
		BodySize:          1024 * carobsize.MiB,
		TotalBufferedSize: 32 * carobsize.MiB,
		ConnectionMemory:  256 * carobsize.MiB,
		HeaderTimeout:     carobduration.Duration(10 * time.Second),
		StallTimeout:      carobduration.Duration(30 * time.Second),
		IdleTimeout:       carobduration.Duration(60 * time.Second),
	}
}

// Check returns an Invalid error that names the first limit below 1.
func (l Limits) Check() error {
	for _, limit := range []struct {
		key   string
		value int64
	}{
		{"calls", int64(l.Calls)},
		{"jobs", int64(l.Jobs)},
		{"targets", int64(l.Targets)},
		{"peers", int64(l.Peers)},
		{"conns", int64(l.Connections)},
		{"files", int64(l.Descriptors)},
		{"cores", int64(l.Cores)},
		{"header", int64(l.HeaderSize)},
		{"body", int64(l.BodySize)},
		{"kept", int64(l.TotalBufferedSize)},
		{"memory", int64(l.ConnectionMemory)},
		{"head", int64(l.HeaderTimeout)},
		{"stall", int64(l.StallTimeout)},
		{"idle", int64(l.IdleTimeout)},
	} {
		if limit.value < 1 {
			return carobkind.New(carobkind.Invalid, "limits.%s: must be at least 1", limit.key)
		}
	}
	return nil
}
