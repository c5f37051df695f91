// Package carobdecision holds the decisions that are logged for on-call engineers.
package carobdecision

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Decision is one decision about a request and the values that it was based on.
type Decision struct {
	// Component is the component of the system that made the decision, and Text states the
	// decision in a short sentence.
	Component, Text string
	// Request is the caller's ID of the call.
	Request carobrequestid.ID
	// Organisation is the organisation that makes the call; empty if it has none.
	Organisation caroborganisationid.ID
	// Call is the system's ID of the call.
	Call carobcallid.ID
	// Attempt is the number of the attempt, from 1; 0 if the decision concerns none.
	Attempt int
	// Target is the target of the attempt; empty if the decision does not concern one.
	Target carobtargetid.ID
	// Kind is the error kind; None if there was no error.
	Kind carobkind.Kind
	// Inputs are the values that the decision was based on; nil if there are none.
	Inputs []carobinput.Input
}
