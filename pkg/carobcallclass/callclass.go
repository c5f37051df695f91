// Package carobcallclass identifies calls that need about the same work, as a target's node sees
// them.
package carobcallclass

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobservice"
)

// CallClass stands for a route at the node of a target, which is not told the route: calls of a
// route have the same service, priority and SLO.
type CallClass struct {
	Service  carobservice.Service
	Priority int
	SLO      time.Duration
}
