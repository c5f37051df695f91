package carobroutetable_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobservicerule"
)

// organisation returns an organisation with keys.
func organisation(id caroborganisationid.ID, keys ...string) caroborganisation.Organisation {
	row := caroborganisation.Organisation{ID: id, Priority: 2, Rate: 5, Burst: 10}
	for _, key := range keys {
		row.Keys = append(row.Keys, carobkeydigest.Of([]byte(key)))
	}
	return row
}

// keyedTable returns a table with two organisations that is not checked yet.
func keyedTable() *carobroutetable.RouteTable {
	route := newRoute("a.example", "/one/")
	route.Anonymous = true
	return &carobroutetable.RouteTable{
		Version: 7, Routes: []carobroute.Route{route}, RequiresKey: true,
		Organisations: []caroborganisation.Organisation{organisation("a", "key-1", "key-2"), organisation("b", "key-3"), organisation("c")},
		ServiceRules:  []carobservicerule.ServiceRule{{Service: "lookups", ColdRate: 3}, {Service: "lookups", ColdRate: 4}},
	}
}

// requireOrganisations requires that a table finds the organisations of keyedTable.
func requireOrganisations(t *testing.T, table *carobroutetable.RouteTable) {
	t.Helper()
	require.True(t, table.RequiresKey)
	for key, id := range map[string]caroborganisationid.ID{"key-1": "a", "key-2": "a", "key-3": "b"} {
		found := table.Organisation(carobkeydigest.Of([]byte(key)))
		require.NotNil(t, found, key)
		require.Equal(t, id, found.ID)
		require.Same(t, table.OrganisationByID(id), found)
		require.Equal(t, 2, found.Priority)
		require.InDelta(t, 5, float64(found.Rate), 0)
	}
	require.Nil(t, table.Organisation(carobkeydigest.Of([]byte("key-4"))))
	require.Nil(t, table.Organisation(carobkeydigest.Digest{}), "no key")
	require.NotNil(t, table.OrganisationByID("c"))
	require.Nil(t, table.OrganisationByID("d"))
	require.True(t, table.Match("a.example", "/one/x").Anonymous)
	require.InDelta(t, 3, float64(table.ServiceRule("lookups").ColdRate), 0, "the first rule counts")
	require.Nil(t, table.ServiceRule("payouts"))
}

// Guards against keys that are unknown at nodes which have the table from a peer, not from
// the store. The test of carobcodec does the same with its encoding.
func TestOrganisationsAreFoundInReceivedTables(t *testing.T) {
	table := keyedTable()
	require.NoError(t, table.Check())
	requireOrganisations(t, table)
	text, err := json.Marshal(table)
	require.NoError(t, err)
	var decoded carobroutetable.RouteTable
	require.NoError(t, json.Unmarshal(text, &decoded))
	requireOrganisations(t, &decoded)
}

// Guards against tables of deployments without organisations that become longer, since each
// byte between data centres is paid for.
func TestTableWithoutOrganisationsHasNoFieldsForThem(t *testing.T) {
	table, err := carobroutetable.NewRouteTable(7, []carobroute.Route{newRoute("a.example", "/one/")})
	require.NoError(t, err)
	text, err := json.Marshal(table)
	require.NoError(t, err)
	for _, field := range []string{"keyed", "organisations", "services", "anonymous"} {
		require.NotContains(t, string(text), field)
	}
}

// Guards against tables in which a key or a name stands for two organisations: which of them
// a call belongs to would depend on the node.
func TestAmbiguousOrganisationsAreRejected(t *testing.T) {
	for _, c := range []struct {
		name          string
		organisations []caroborganisation.Organisation
		reason        string
	}{
		{"key of two", []caroborganisation.Organisation{organisation("a", "key-1"), organisation("b", "key-1")}, "organisation b: a has the key"},
		{"key twice in one", []caroborganisation.Organisation{organisation("a", "key-1", "key-1")}, "organisation a: a has the key"},
		{"name of two", []caroborganisation.Organisation{organisation("a", "key-1"), organisation("a", "key-2")}, "organisation a: the name is not unique"},
		{"no name", []caroborganisation.Organisation{organisation("", "key-1")}, "the name has 0 bytes"},
		{"negative rate", []caroborganisation.Organisation{{ID: "a", Rate: -5}}, "organisation a: rate"},
		{"negative burst", []caroborganisation.Organisation{{ID: "a", Burst: -5}}, "organisation a: burst"},
		{"too many", make([]caroborganisation.Organisation, carobroutetable.MaxOrganisations+1), "more than"},
		{"too many keys", []caroborganisation.Organisation{{ID: "a", Keys: manyKeys(carobroutetable.MaxKeys + 1)}}, "more than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := keyedTable()
			table.Organisations = c.organisations
			err := table.Check()
			require.Equal(t, carobkind.Invalid, carobkind.Of(err))
			require.Contains(t, err.Error(), c.reason)
			require.NotContains(t, err.Error(), "key-1", "errors are logged")
		})
	}
}

func manyKeys(n int) []carobkeydigest.Digest {
	keys := make([]carobkeydigest.Digest, n)
	for i := range keys {
		keys[i][0], keys[i][1], keys[i][2] = byte(i), byte(i>>8), byte(i>>16)
	}
	return keys
}

// Guards against an allocation for each call, which costs time on small VMs.
func TestLookUpOfAKeyAllocatesNothing(t *testing.T) {
	table := keyedTable()
	require.NoError(t, table.Check())
	known, unknown := carobkeydigest.Of([]byte("key-1")), carobkeydigest.Of([]byte("key-4"))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if table.Organisation(known) == nil || table.Organisation(unknown) != nil {
			t.Error("wrong result")
		}
	}))
}
