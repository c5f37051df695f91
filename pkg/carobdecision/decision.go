// Package carobdecision holds the decisions that on call can look up afterwards.
package carobdecision

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Decision is one decision on a request, with what it went by.
type Decision struct {
	// Part is the part of the system that decided, and Text what, in a short
	// sentence.
	Part, Text string
	// Request is the caller's name for the call, and Call the system's.
	Request carobrequestid.ID
	Call    carobcallid.ID
	Attempt int
	// Target is empty if the decision is not about one.
	Target carobtargetid.ID
	// Kind is the outcome; None if all went well.
	Kind   carobkind.Kind
	Inputs []carobinput.Input
}
