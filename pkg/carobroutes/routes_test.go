package carobroutes_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobpart"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutes"
)

func route(host, prefix string) carobroute.Route {
	return carobroute.Route{
		Name: "r", Host: host, Prefix: prefix, Once: carobonce.No, Tries: 2,
		Split: []carobpart.Part{{Service: "lookups", Weight: 1}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	rs, err := carobroutes.NewRoutes(7, []carobroute.Route{
		route("a.example", "/one/"), route("a.example", "/one/two/"), route("b.example", "/"),
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
			rt := rs.Match(c.host, c.path)
			if c.prefix == "" {
				require.Nil(t, rt)
				return
			}
			require.Equal(t, c.prefix, rt.Prefix)
		})
	}
}

func TestBrokenTablesAreRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(rt *carobroute.Route)
	}{
		{"no host", func(rt *carobroute.Route) { rt.Host = "" }},
		{"prefix without slash", func(rt *carobroute.Route) { rt.Prefix = "/one" }},
		{"no tries", func(rt *carobroute.Route) { rt.Tries = 0 }},
		{"no service", func(rt *carobroute.Route) { rt.Split = nil }},
		{"negative weight", func(rt *carobroute.Route) { rt.Split[0].Weight = -1 }},
		{"bad service", func(rt *carobroute.Route) { rt.Split[0].Service = "A B" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			rt := route("a.example", "/one/")
			c.change(&rt)
			_, err := carobroutes.NewRoutes(7, []carobroute.Route{rt})
			require.Error(t, err)
		})
	}
	_, err := carobroutes.NewRoutes(0, nil)
	require.Error(t, err, "a table has a version")
}

func TestTableSurvivesTheWire(t *testing.T) {
	rs, err := carobroutes.NewRoutes(7, []carobroute.Route{route("a.example", "/one/")})
	require.NoError(t, err)
	text, err := json.Marshal(rs)
	require.NoError(t, err)
	var again carobroutes.Routes
	require.NoError(t, json.Unmarshal(text, &again))
	require.Equal(t, rs.Routes, again.Routes)
	require.NotNil(t, again.Match("a.example", "/one/x"))
}

func FuzzRoutes(f *testing.F) {
	f.Add([]byte(`{"version":7,"routes":[{"name":"r","host":"a","prefix":"/","once":"no","tries":1,"split":[{"service":"s","weight":1}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var rs carobroutes.Routes
		if json.Unmarshal(text, &rs) != nil {
			return
		}
		require.NoError(t, rs.Check())
		for i := range rs.Routes {
			require.NotNil(t, rs.Match(rs.Routes[i].Host, rs.Routes[i].Prefix+"x"))
		}
	})
}
