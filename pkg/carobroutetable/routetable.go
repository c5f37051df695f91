// Package carobroutetable holds the route table, which an operator publishes as a
// whole.
package carobroutetable

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobservicerule"
)

// RouteTable is one version of the route table. It is immutable once indexed, so
// that goroutines may share it.
type RouteTable struct {
	Version carobrouteversion.Version `json:"version"`
	// Routes may be in any order. No two have the same host and prefix.
	Routes []carobroute.Route `json:"routes"`
	// RequiresKey is true if calls need an API key of an organisation, unless their route is
	// anonymous. If it is false, there are no organisations.
	RequiresKey bool `json:"keyed,omitempty"`
	// Organisations are those whose calls are admitted.
	Organisations []caroborganisation.Organisation `json:"organisations,omitempty"`
	// ServiceRules are the rules of services. If a service has several, the first applies.
	ServiceRules []carobservicerule.ServiceRule `json:"services,omitempty"`
	// byHost has the routes of each host, in order of decreasing prefix length;
	// nil before the table is indexed.
	byHost map[string][]*carobroute.Route
	// byKey has the organisation of each API key, and byID the one of each ID.
	byKey map[carobkeydigest.Digest]*caroborganisation.Organisation
	byID  map[caroborganisationid.ID]*caroborganisation.Organisation
	// byService has the rule of each service that has one.
	byService map[carobservice.Service]*carobservicerule.ServiceRule
}

// MaxRoutes, MaxOrganisations and MaxKeys are the maximum numbers of routes, organisations and
// API keys in a table.
const (
	MaxRoutes        = 20_000
	MaxOrganisations = 20_000
	MaxKeys          = 100_000
)

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

// index checks the table and fills the indexes.
func (r *RouteTable) index() error {
	if err := r.indexOrganisations(); err != nil {
		return err
	}
	r.byService = map[carobservice.Service]*carobservicerule.ServiceRule{}
	for i := range slices.Backward(r.ServiceRules) {
		r.byService[r.ServiceRules[i].Service] = &r.ServiceRules[i]
	}
	return r.indexRoutes()
}

// indexOrganisations checks all organisations and fills byKey and byID.
func (r *RouteTable) indexOrganisations() error {
	if len(r.Organisations) > MaxOrganisations {
		return carobkind.New(carobkind.Invalid, "organisations: more than %d", MaxOrganisations)
	}
	r.byKey = map[carobkeydigest.Digest]*caroborganisation.Organisation{}
	r.byID = map[caroborganisationid.ID]*caroborganisation.Organisation{}
	for i := range r.Organisations {
		organisation := &r.Organisations[i]
		if err := organisation.Check(); err != nil {
			return err
		}
		if r.byID[organisation.ID] != nil {
			return carobkind.New(carobkind.Invalid, "organisation %s: the name is not unique", organisation.ID)
		}
		r.byID[organisation.ID] = organisation
		for _, key := range organisation.Keys {
			if holder := r.byKey[key]; holder != nil {
				return carobkind.New(carobkind.Invalid, "organisation %s: %s has the key with digest %s already", organisation.ID, holder.ID, key)
			}
			r.byKey[key] = organisation
		}
	}
	if len(r.byKey) > MaxKeys {
		return carobkind.New(carobkind.Invalid, "organisations: more than %d keys", MaxKeys)
	}
	return nil
}

// indexRoutes checks all routes and fills byHost.
func (r *RouteTable) indexRoutes() error {
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

// Organisation returns the organisation that has an API key, or nil.
func (r *RouteTable) Organisation(key carobkeydigest.Digest) *caroborganisation.Organisation {
	return r.byKey[key]
}

// OrganisationByID returns the organisation with an ID, or nil.
func (r *RouteTable) OrganisationByID(id caroborganisationid.ID) *caroborganisation.Organisation {
	return r.byID[id]
}

// ServiceRule returns the rule of a service, or nil.
func (r *RouteTable) ServiceRule(service carobservice.Service) *carobservicerule.ServiceRule {
	return r.byService[service]
}
