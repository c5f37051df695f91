// Package carobhealth holds the message that a health check has ended.
package carobhealth

import (
	"github.com/carobknot/carobknot/pkg/carobpressure"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Health is what came of a health check.
type Health struct {
	Target carobtargetid.ID
	// Pressure is what the target tells of its load; nil if it did not answer.
	Pressure *carobpressure.Pressure
}
