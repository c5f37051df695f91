// Package carobroute holds what an operator says of the calls below one prefix
// of a host.
package carobroute

import (
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobpart"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Route says where calls go and how they are treated.
type Route struct {
	// Name is the operator's, for logs.
	Name carobword.Word `json:"name"`
	// Host is that of the calls, without a port.
	Host string `json:"host"`
	// Prefix begins the paths of the calls. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Once says how often a call may run.
	Once carobonce.Once `json:"once"`
	// Tries is on how many targets a call may run at most, at least 1.
	Tries int `json:"tries"`
	// Timeout is when a call has its final answer at the latest; 0 is when its
	// caller's patience ends.
	Timeout carobspan.Span `json:"timeout"`
	// Slo is the latency within which callers want their answer; 0 is none.
	Slo carobspan.Span `json:"slo"`
	// Rank is the priority, 0 the highest.
	Rank int `json:"rank"`
	// Split has at least one part.
	Split []carobpart.Part `json:"split"`
}

// Check tells whether all fields are within their bounds.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return carobkind.New(carobkind.Invalid, "route %s: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return carobkind.New(carobkind.Invalid, "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Tries < 1 || r.Tries > carobprofile.MaxTries:
		return carobkind.New(carobkind.Invalid, "route %s: tries: %d is not between 1 and %d", r.Name, r.Tries, carobprofile.MaxTries)
	case len(r.Split) == 0:
		return carobkind.New(carobkind.Invalid, "route %s: no service", r.Name)
	}
	for _, pt := range r.Split {
		if err := pt.Service.Check(); err != nil {
			return err
		}
		if !(pt.Weight >= 0) {
			return carobkind.New(carobkind.Invalid, "route %s: weight of %s is negative", r.Name, pt.Service)
		}
	}
	return nil
}

// Apply returns a profile with what the route says in place of what the profile
// says for all calls of a service.
func (r *Route) Apply(pf carobprofile.Profile) carobprofile.Profile {
	pf.Once, pf.Tries = r.Once, r.Tries
	if r.Timeout > 0 {
		pf.Deadline = r.Timeout
	}
	return pf
}
