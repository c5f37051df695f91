// Package carobfate says what became of a job, as its target's node knows it.
package carobfate

import "github.com/carobknot/carobknot/pkg/carobkind"

// Fate is the answer to a fence.
type Fate string

// The fates.
const (
	// Unasked: there is no answer yet.
	Unasked Fate = ""
	// Never: the job has not run and never will.
	Never Fate = "never"
	// Running: the job was started and has not ended.
	Running Fate = "running"
	// Done: the job was started and has ended.
	Done Fate = "done"
	// Unknown: the node cannot tell. The job may have run.
	Unknown Fate = "unknown"
)

// UnmarshalText decodes a fate and checks it.
func (f *Fate) UnmarshalText(text []byte) error {
	switch ft := Fate(text); ft {
	case Never, Running, Done, Unknown:
		*f = ft
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "fate %.40q is none of \"never\", \"running\", \"done\" and \"unknown\"", text)
	}
}
