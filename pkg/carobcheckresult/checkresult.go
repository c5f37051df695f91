// Package carobcheckresult holds the tick input that reports the result of a health check.
package carobcheckresult

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// CheckResult is the result of a health check.
type CheckResult struct {
	Target carobtargetid.ID
	// OrderedAt is when the health check was ordered.
	OrderedAt carobinstant.Instant
	// TargetLoad is the load that the target reported; nil if it did not answer.
	TargetLoad *carobtargetload.TargetLoad
	// Available is true if the target itself, by the name that was asked for, states that it
	// is healthy and not leaving.
	Available bool
	// Directive is what the response requests; nil if there was no valid response.
	Directive *carobtargetdirective.TargetDirective
}
