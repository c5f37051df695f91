// Package carobjobstate holds the states of a job that a fence reply can report.
package carobjobstate

import "github.com/carobknot/carobknot/pkg/carobkind"

// JobState is the state of a job as recorded at its target's node.
type JobState string

// The states.
const (
	// Pending: there is no fence reply yet.
	Pending JobState = ""
	// Never: the job has not run and never will.
	Never JobState = "never"
	// Running: the job was started and has not ended.
	Running JobState = "running"
	// Done: the job was started and has ended.
	Done JobState = "done"
	// Unknown: the node has no record of the job. The job may have run.
	Unknown JobState = "unknown"
)

// UnmarshalText decodes a state. It returns an Invalid error for any other text; the
// empty Pending is not accepted.
func (s *JobState) UnmarshalText(text []byte) error {
	switch st := JobState(text); st {
	case Never, Running, Done, Unknown:
		*s = st
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "job state %.40q is none of \"never\", \"running\", \"done\" and \"unknown\"", text)
	}
}
