// Package carobroutetable holds the route table, which an operator publishes as a
// whole.
package carobroutetable

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// RouteTable is one version of the route table. It is immutable once indexed, so
// that goroutines may share it.
type RouteTable struct {
	Version carobrouteversion.Version `json:"version"`
	// Routes may be in any order. No two have the same host and prefix.
	Routes []carobroute.Route `json:"routes"`
	// byHost has the routes of each host, in order of decreasing prefix length;
	// nil before the table is indexed.
	byHost map[string][]*carobroute.Route
}

// MaxRoutes is the maximum number of routes in a table.
const MaxRoutes = 20_000

// NewRouteTable returns a table that is checked and indexed, or an error of kind
// Invalid.
func NewRouteTable(version carobrouteversion.Version, routes []carobroute.Route) (*RouteTable, error) {
	table := &RouteTable{Version: version, Routes: routes}
	if err := table.index(); err != nil {
		return nil, err
	}
	return table, nil
}

// UnmarshalJSON decodes, checks and indexes a table. Its errors are of kind
// Invalid.
func (r *RouteTable) UnmarshalJSON(text []byte) error {
	type plain RouteTable
	var table plain
	if err := json.Unmarshal(text, &table); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode routes")
	}
	*r = RouteTable(table)
	return r.index()
}

// Check checks and indexes a table that was decoded by another codec than JSON,
// such as one received from a peer. It does nothing if the table is indexed
// already. Its errors are of kind Invalid.
func (r *RouteTable) Check() error {
	if r.byHost != nil {
		return nil
	}
	return r.index()
}

// index checks all routes and fills byHost.
func (r *RouteTable) index() error {
	if r.Version == carobrouteversion.None || len(r.Routes) > MaxRoutes {
		return carobkind.New(carobkind.Invalid, "routes: no version, or more than %d routes", MaxRoutes)
	}
	byHost := map[string][]*carobroute.Route{}
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := route.Check(); err != nil {
			return err
		}
		byHost[route.Host] = append(byHost[route.Host], route)
	}
	for _, hostRoutes := range byHost {
		slices.SortFunc(hostRoutes, func(a, b *carobroute.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	r.byHost = byHost
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The port of the host and the query of the path are ignored.
func (r *RouteTable) Match(host, path string) *carobroute.Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
