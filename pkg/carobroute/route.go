// Package carobroute holds an operator's rule for the calls below a path prefix
// of a host.
package carobroute

import (
	"strings"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
)

// Route selects the services that get the calls and how the calls are treated.
type Route struct {
	// Name is given by the operator and used in logs.
	Name carobname.Name `json:"name"`
	// Host is the host of the calls, without a port.
	Host string `json:"host"`
	// Prefix is the path prefix of the calls. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Guarantee states how often a call may run.
	Guarantee carobguarantee.Guarantee `json:"once"`
	// Attempts is the maximum number of targets that a call may run on, at least 1. It may
	// exceed the bound of profiles: the operator sets it, and calls end by their deadline and
	// the retry budget.
	Attempts int `json:"tries"`
	// Timeout limits the time until a call's final response. If it is 0, the
	// caller's timeout applies, or the profile's deadline if the caller sets none.
	Timeout carobduration.Duration `json:"timeout"`
	// SLO is the latency that callers expect; 0 if none is set.
	SLO carobduration.Duration `json:"slo"`
	// Priority is the priority, 0 the highest.
	Priority int `json:"rank"`
	// Anonymous is true if calls need no API key although the table has organisations.
	Anonymous bool `json:"anonymous,omitempty"`
	// WeightedServices has at least one entry.
	WeightedServices []carobweightedservice.WeightedService `json:"split"`
}

// Check returns an error of kind Invalid if a field is out of bounds.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return carobkind.New(carobkind.Invalid, "route %s: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return carobkind.New(carobkind.Invalid, "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Attempts < 1:
		return carobkind.New(carobkind.Invalid, "route %s: tries: %d is less than 1", r.Name, r.Attempts)
	case len(r.WeightedServices) == 0:
		return carobkind.New(carobkind.Invalid, "route %s: no service", r.Name)
	}
	for _, weighted := range r.WeightedServices {
		if err := weighted.Service.Check(); err != nil {
			return err
		}
		if !(weighted.Weight >= 0) {
			return carobkind.New(carobkind.Invalid, "route %s: weight of %s is negative", r.Name, weighted.Service)
		}
	}
	return nil
}

// Apply returns the profile with those fields replaced that the route sets.
func (r *Route) Apply(profile carobprofile.Profile) carobprofile.Profile {
	profile.Guarantee, profile.Attempts = r.Guarantee, r.Attempts
	if r.Timeout > 0 {
		profile.Deadline = r.Timeout
	}
	return profile
}
