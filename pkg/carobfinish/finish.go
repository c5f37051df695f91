// Package carobfinish holds the tick input that reports the end of a job.
package carobfinish

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// Finish reports to a target's node how a started or queued job has ended.
type Finish struct {
	Job carobjobid.ID
	// Kind is the error kind; None if the target's response was forwarded completely.
	Kind carobkind.Kind
	// Status is the HTTP status of the target's response; 0 if there was none.
	Status int
	// TargetLoad is the load that the target reported; nil if the response had none.
	TargetLoad *carobtargetload.TargetLoad
	// Directive is what the response requests; nil if there was no valid response.
	Directive *carobtargetdirective.TargetDirective
}
