// Package carobjobstate says what became of a job, as its target's node knows it.
package carobjobstate

import "github.com/carobknot/carobknot/pkg/carobkind"

// JobState is the answer to a fence.
type JobState string

// The states.
const (
	// Unasked: there is no answer yet.
	Unasked JobState = ""
	// Never: the job has not run and never will.
	Never JobState = "never"
	// Running: the job was started and has not ended.
	Running JobState = "running"
	// Done: the job was started and has ended.
	Done JobState = "done"
	// Unknown: the node cannot tell. The job may have run.
	Unknown JobState = "unknown"
)

// UnmarshalText decodes a state and checks it.
func (s *JobState) UnmarshalText(text []byte) error {
	switch st := JobState(text); st {
	case Never, Running, Done, Unknown:
		*s = st
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "job state %.40q is none of \"never\", \"running\", \"done\" and \"unknown\"", text)
	}
}
