// Package carobcheckresult holds the tick input that reports the result of a health check.
package carobcheckresult

import (
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// CheckResult is the result of a health check.
type CheckResult struct {
	Target carobtargetid.ID
	// TargetLoad is the load that the target reported; nil if it did not answer.
	TargetLoad *carobtargetload.TargetLoad
}
