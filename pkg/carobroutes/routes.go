// Package carobroutes holds the route table that an operator publishes as a
// whole.
package carobroutes

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// Routes is one version of the route table. It is not changed once made, so
// that it may be shared.
type Routes struct {
	Version carobrouteversion.Version `json:"version"`
	// Routes have no two with the same host and prefix.
	Routes []carobroute.Route `json:"routes"`
	// hosts has the routes of each host, those with longer prefixes first.
	hosts map[string][]*carobroute.Route
}

// Most is the most routes of a table.
const Most = 20_000

// NewRoutes checks a table and makes it ready for lookups.
func NewRoutes(version carobrouteversion.Version, routes []carobroute.Route) (*Routes, error) {
	rs := &Routes{Version: version, Routes: routes}
	if err := rs.index(); err != nil {
		return nil, err
	}
	return rs, nil
}

// UnmarshalJSON decodes a table and checks it.
func (r *Routes) UnmarshalJSON(text []byte) error {
	type plain Routes
	var rs plain
	if err := json.Unmarshal(text, &rs); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode routes")
	}
	*r = Routes(rs)
	return r.index()
}

// Check tells whether the table is within its bounds, and makes it ready for
// lookups. Tables from other nodes are decoded without that.
func (r *Routes) Check() error {
	if r.hosts != nil {
		return nil
	}
	return r.index()
}

func (r *Routes) index() error {
	if r.Version == carobrouteversion.None || len(r.Routes) > Most {
		return carobkind.New(carobkind.Invalid, "routes: no version, or more than %d routes", Most)
	}
	hosts := map[string][]*carobroute.Route{}
	for i := range r.Routes {
		rt := &r.Routes[i]
		if err := rt.Check(); err != nil {
			return err
		}
		hosts[rt.Host] = append(hosts[rt.Host], rt)
	}
	for _, rts := range hosts {
		slices.SortFunc(rts, func(a, b *carobroute.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	r.hosts = hosts
	return nil
}

// Match returns the route with the longest prefix of the path, or nil. A port
// of the host and a query of the path do not matter.
func (r *Routes) Match(host, path string) *carobroute.Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, rt := range r.hosts[host] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}
