// Package caroblimits holds the limits of a node's state and of its callers' calls.
package caroblimits

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobspan"
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
	// Conns is the maximum number of open connections of callers.
	Conns int `json:"conns"`
	// Cores is the maximum number of processor cores that run the node's goroutines
	// at once (GOMAXPROCS).
	Cores int `json:"cores"`
	// Header is the maximum size of the header of a call.
	Header carobsize.Size `json:"header"`
	// Body is the maximum size of the body of a call.
	Body carobsize.Size `json:"body"`
	// Kept is the maximum total size of the bodies of all calls that are
	// buffered for another attempt. A body beyond it is streamed; a front end
	// that needs whole bodies refuses the call instead.
	Kept carobsize.Size `json:"kept"`
	// Head is the time-out for receiving the header of a call.
	Head carobspan.Duration `json:"head"`
	// Stall is the time without progress after which the transfer of a body counts
	// as cut.
	Stall carobspan.Duration `json:"stall"`
	// Idle is how long an unused connection of a caller stays open.
	Idle carobspan.Duration `json:"idle"`
}

// NewLimits returns the default limits, which suffice for several times the size of
// the largest known deployment.
func NewLimits() Limits {
	return Limits{
		Calls:   20_000,
		Jobs:    20_000,
		Targets: 4_000,
		Peers:   4_000,
		Conns:   4_000,
		Cores:   1,
		Header:  16 * carobsize.KiB,
		Body:    1024 * carobsize.MiB,
		Kept:    32 * carobsize.MiB,
		Head:    carobspan.Duration(10 * time.Second),
		Stall:   carobspan.Duration(30 * time.Second),
		Idle:    carobspan.Duration(60 * time.Second),
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
		{"conns", int64(l.Conns)},
		{"cores", int64(l.Cores)},
		{"header", int64(l.Header)},
		{"body", int64(l.Body)},
		{"kept", int64(l.Kept)},
		{"head", int64(l.Head)},
		{"stall", int64(l.Stall)},
		{"idle", int64(l.Idle)},
	} {
		if limit.value < 1 {
			return carobkind.New(carobkind.Invalid, "limits.%s: must be at least 1", limit.key)
		}
	}
	return nil
}
