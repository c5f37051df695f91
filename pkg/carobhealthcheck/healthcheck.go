// Package carobhealthcheck holds the effect that runs a health check of one of the node's own
// targets.
package carobhealthcheck

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// HealthCheck orders the traffic goroutines to run a health check, which returns the
// target's load and the slowness of its VM.
type HealthCheck struct {
	Target  carobtargetid.ID
	Address carobaddress.Address
	// OrderedAt is when the health check was ordered.
	OrderedAt carobinstant.Instant
}
