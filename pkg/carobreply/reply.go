// Package carobreply holds the message that an attempt has its reply.
package carobreply

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Reply tells the entry how an attempt went.
type Reply struct {
	Job carobjobid.ID
	// Target is where the attempt was sent.
	Target carobtargetid.ID
	// Kind is None if the head of a target's answer is here, and Cancelled if the
	// attempt was given up before.
	Kind carobkind.Kind
	// Status is the target's HTTP status; 0 if Kind is not None.
	Status int
	// Report is the load of the target; nil if the reply brought none.
	Report *carobreport.Report
}
