package carobroutetable_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
)

func newRoute(host, prefix string) carobroute.Route {
	return carobroute.Route{
		Name: "r", Host: host, Prefix: prefix, Guarantee: carobguarantee.Idempotent, Attempts: 2,
		WeightedServices: []carobweightedservice.WeightedService{{Service: "lookups", Weight: 1}},
	}
}

// Guards against calls that follow a shorter prefix, or that are not matched
// because of a port or a query.
func TestLongestPrefixWins(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(7, []carobroute.Route{
		newRoute("a.example", "/one/"), newRoute("a.example", "/one/two/"), newRoute("b.example", "/"),
	})
	require.NoError(t, err)
	for _, c := range []struct{ name, host, path, prefix string }{
		{"shorter", "a.example", "/one/x", "/one/"},
		{"longer", "a.example", "/one/two/x", "/one/two/"},
		{"the prefix itself", "a.example", "/one/two/", "/one/two/"},
		{"without the last slash", "a.example", "/one/two", "/one/"},
		{"port of the host", "a.example:80", "/one/", "/one/"},
		{"slash in the query", "a.example", "/one/two?/one/two/", "/one/"},
		{"all of a host", "b.example", "/anything", "/"},
		{"no such path", "a.example", "/", ""},
		{"no such host", "c.example", "/one/", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := table.Match(c.host, c.path)
			if c.prefix == "" {
				require.Nil(t, route)
				return
			}
			require.Equal(t, c.prefix, route.Prefix)
		})
	}
}

// Guards against tables that pass the check with a field out of bounds.
func TestInvalidTableIsRejected(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(route *carobroute.Route)
	}{
		{"no host", func(route *carobroute.Route) { route.Host = "" }},
		{"prefix without slash", func(route *carobroute.Route) { route.Prefix = "/one" }},
		{"no attempts allowed", func(route *carobroute.Route) { route.Attempts = 0 }},
		{"no service", func(route *carobroute.Route) { route.WeightedServices = nil }},
		{"negative weight", func(route *carobroute.Route) { route.WeightedServices[0].Weight = -1 }},
		{"invalid service", func(route *carobroute.Route) { route.WeightedServices[0].Service = "A B" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := newRoute("a.example", "/one/")
			c.change(&route)
			_, err := carobroutetable.NewRouteTable(7, []carobroute.Route{route})
			require.Error(t, err)
		})
	}
	_, err := carobroutetable.NewRouteTable(0, nil)
	require.Error(t, err, "a table needs a version")
}

// Guards against a decoded table without an index, in which no route matches.
func TestTableIsUsableAfterJSONRoundTrip(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(7, []carobroute.Route{newRoute("a.example", "/one/")})
	require.NoError(t, err)
	text, err := json.Marshal(table)
	require.NoError(t, err)
	var decoded carobroutetable.RouteTable
	require.NoError(t, json.Unmarshal(text, &decoded))
	require.Equal(t, table.Routes, decoded.Routes)
	require.NotNil(t, decoded.Match("a.example", "/one/x"))
}

// Guards against tables that decode without error but have a route that matches
// no call.
func FuzzRoutes(f *testing.F) {
	f.Add([]byte(`{"version":7,"routes":[{"name":"r","host":"a","prefix":"/","once":"no","tries":1,"split":[{"service":"s","weight":1}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var table carobroutetable.RouteTable
		if json.Unmarshal(text, &table) != nil {
			return
		}
		require.NoError(t, table.Check())
		for i := range table.Routes {
			require.NotNil(t, table.Match(table.Routes[i].Host, table.Routes[i].Prefix+"x"))
		}
	})
}
