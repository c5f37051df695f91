// Package carobservicerule holds what an operator sets for all targets of a service.
package carobservicerule

import (
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// ServiceRule limits the calls to targets of a service while they are cold, that is, slow and
// fragile after a start.
type ServiceRule struct {
	Service carobservice.Service `json:"service"`
	// ColdPeriod is how long a target stays cold after its start; 0 if it is never cold.
	ColdPeriod carobduration.Duration `json:"cold,omitempty"`
	// ColdRate is the number of calls a second that a cold target takes from all nodes
	// together; 0 if there is no limit.
	ColdRate carobcallrate.CallRate `json:"coldrate,omitempty"`
}
