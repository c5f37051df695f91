// Package caroblimits holds the bounds of a node's state and of what callers
// may send.
package caroblimits

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobspan"
)

// Limits bounds every table of a node and every message to it.
type Limits struct {
	// Calls is the most calls that the node is the entry of at once.
	Calls int `json:"calls"`
	// Jobs is the most jobs at the node's own targets, queued ones included.
	Jobs int `json:"jobs"`
	// Targets is the most targets that the node knows.
	Targets int `json:"targets"`
	// Peers is the most other nodes that the node knows.
	Peers int `json:"peers"`
	// Conns is the most connections that callers may open.
	Conns int `json:"conns"`
	// Cores is how many processor cores the node's goroutines use at once.
	Cores int `json:"cores"`
	// Header is the longest header of a call.
	Header carobsize.Size `json:"header"`
	// Body is the longest body of a call.
	Body carobsize.Size `json:"body"`
	// Kept is the most bytes of bodies that are kept for another attempt, those
	// of all calls together. Bodies beyond it are streamed.
	Kept carobsize.Size `json:"kept"`
	// Head is how long a caller may take to send the header of a call.
	Head carobspan.Span `json:"head"`
	// Stall is how long a body may stand still before it counts as cut.
	Stall carobspan.Span `json:"stall"`
	// Idle is how long a connection of a caller may be unused.
	Idle carobspan.Span `json:"idle"`
}

// NewLimits returns the defaults, which suit several times the size of the
// largest deployment known.
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
		Head:    carobspan.Span(10 * time.Second),
		Stall:   carobspan.Span(30 * time.Second),
		Idle:    carobspan.Span(60 * time.Second),
	}
}

// Check tells whether all limits are positive.
func (l Limits) Check() error {
	for _, f := range []struct {
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
		if f.value < 1 {
			return carobkind.New(carobkind.Invalid, "limits.%s: must be at least 1", f.key)
		}
	}
	return nil
}
