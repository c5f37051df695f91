// Package caroblimits holds the bounds of a node's state and of what callers
// may send.
package caroblimits

import "github.com/carobknot/carobknot/pkg/carobsize"

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
	// Profiles is the most profiles.
	Profiles int `json:"profiles"`
	// Conns is the most connections that callers may open.
	Conns int `json:"conns"`
	// Header is the longest header of a call.
	Header carobsize.Size `json:"header"`
	// Body is the longest body of a call.
	Body carobsize.Size `json:"body"`
}

// NewLimits returns the defaults, which suit several times the size of the
// largest deployment known.
func NewLimits() Limits {
	return Limits{
		Calls:    20_000,
		Jobs:     20_000,
		Targets:  4_000,
		Peers:    4_000,
		Profiles: 1_000,
		Conns:    4_000,
		Header:   16 * carobsize.KiB,
		Body:     1024 * carobsize.MiB,
	}
}
