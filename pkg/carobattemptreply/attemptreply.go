// Package carobattemptreply holds the message that reports the reply to an attempt.
package carobattemptreply

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// AttemptReply reports to the control goroutine of the entry node how an attempt ended.
type AttemptReply struct {
	Job carobjobid.ID
	// Target is the target that the attempt was sent to.
	Target carobtargetid.ID
	// Kind is None if the head of the target's answer has arrived, and Cancelled if
	// the entry cancelled the attempt before that.
	Kind carobkind.Kind
	// Status is the HTTP status of the target's answer; 0 if Kind is not None.
	Status int
	// Report is the load of the target; nil if the reply did not contain it.
	Report *carobreport.Report
}
