// Package carobhealth holds the message that a health check has ended.
package carobhealth

import (
	"github.com/carobknot/carobknot/pkg/carobpressure"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Health is the result of a health check.
type Health struct {
	Target carobtargetid.ID
	// Pressure is the load that the target reported; nil if it did not answer.
	Pressure *carobpressure.TargetLoad
}
