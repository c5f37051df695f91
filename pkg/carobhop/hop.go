// Package carobhop holds the trace records of calls.
package carobhop

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Hop is the record of one call on one node. The entry node and the target's node each
// record their own hop, so that the trace of a call is not lost if one of them is killed.
type Hop struct {
	// Node is the node that recorded the hop.
	Node carobnodeid.ID `json:"node"`
	// Role is "entry" or "target".
	Role string `json:"role"`
	// Call is the recorded call.
	Call carobcallid.ID `json:"call"`
	// Attempt is the number of the attempt, from 1; 0 if none was sent.
	Attempt int `json:"attempt"`
	// Target is the target of the attempt; zero if none was sent.
	Target carobtargetid.ID `json:"target,omitzero"`
	// Traceparent is the trace context in W3C format.
	Traceparent string `json:"trace,omitempty"`
	// Parent is the span of the previous hop in hexadecimal; empty if the trace began
	// here.
	Parent string `json:"parent,omitempty"`
	// StartedAt is when the call or job arrived, by the node's own clock.
	StartedAt time.Time `json:"start"`
	// Duration is the time from StartedAt to the end of the call or job.
	Duration carobduration.Duration `json:"took"`
	// Kind is the error kind; None if there was no error.
	Kind carobkind.Kind `json:"kind,omitempty"`
}
