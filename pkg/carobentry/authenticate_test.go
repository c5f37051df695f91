package carobentry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkeydigest"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
)

// keyedTable returns a table that requires keys. It has a route, an anonymous route, and an
// organisation for each pair of a name and a key.
func keyedTable(t *testing.T, version carobrouteversion.Version, organisations ...caroborganisation.Organisation) *carobroutetable.RouteTable {
	t.Helper()
	services := []carobweightedservice.WeightedService{{Service: service, Weight: 1}}
	table := &carobroutetable.RouteTable{
		Version: version, RequiresKey: true, Organisations: organisations,
		Routes: []carobroute.Route{
			{Name: "r", Host: "a.example", Prefix: "/one/", Guarantee: carobguarantee.OncePerCall, Attempts: 2, Priority: 3, WeightedServices: services},
			{Name: "o", Host: "a.example", Prefix: "/open/", Guarantee: carobguarantee.OncePerCall, Attempts: 2, Anonymous: true, WeightedServices: services},
		},
	}
	require.NoError(t, table.Check())
	return table
}

// clinic returns an organisation with one key.
func clinic(key string) caroborganisation.Organisation {
	return caroborganisation.Organisation{ID: "clinic", Keys: []carobkeydigest.Digest{carobkeydigest.Of([]byte(key))}, Priority: 2}
}

// credential returns the credential of a call that carries a key.
func credential(key string) carobcredential.Credential {
	return carobcredential.Credential{Key: carobkeydigest.Of([]byte(key)), Valid: true}
}

// arriveWith runs a tick in which a call with a credential arrives.
func (r *rig) arriveWith(path string, presented carobcredential.Credential) {
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{
		{Call: r.call, Request: "req", Host: "a.example", Path: path, Timeout: callTimeout, Credential: presented},
	}})
}

// Guards against calls that run without a key of an organisation in force, and against
// callers who learn from a 401 of a route that does not exist or of a node without a table.
func TestCallsNeedAKeyInForce(t *testing.T) {
	for _, c := range []struct {
		name, path string
		presented  carobcredential.Credential
		kind       carobkind.Kind
	}{
		{"no key", "/one/x", carobcredential.Credential{}, carobkind.Unauthenticated},
		{"unknown key", "/one/x", credential("other"), carobkind.Unauthenticated},
		{"known digest in a malformed credential", "/one/x", carobcredential.Credential{Key: carobkeydigest.Of([]byte("key"))}, carobkind.Unauthenticated},
		{"known key", "/one/x", credential("key"), carobkind.None},
		{"anonymous route, no key", "/open/x", carobcredential.Credential{}, carobkind.None},
		{"anonymous route, unknown key", "/open/x", credential("other"), carobkind.None},
		{"no route, no key", "/two/x", carobcredential.Credential{}, carobkind.NoRoute},
		{"no route, known key", "/two/x", credential("key"), carobkind.NoRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.arriveWith(c.path, c.presented)
			r.requireConcluded(carobkind.NotReady)
			r.world.RouteTable = keyedTable(t, 1, clinic("key"))
			r.arriveWith(c.path, c.presented)
			if c.kind != carobkind.None {
				r.requireConcluded(c.kind)
				return
			}
			r.requireSent(1)
		})
	}
}

// Guards against calls that count for an organisation although their route is anonymous or
// the table requires no keys.
func TestOnlyAuthenticatedCallsHaveAnOrganisation(t *testing.T) {
	for _, c := range []struct {
		name, path  string
		requiresKey bool
		has         bool
	}{
		{"route", "/one/x", true, true},
		{"anonymous route", "/open/x", true, false},
		{"table without keys", "/one/x", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			table := keyedTable(t, 1, clinic("key"))
			table.RequiresKey = c.requiresKey
			r.world.RouteTable = table
			r.arriveWith(c.path, credential("key"))
			call := r.world.Calls.Get(r.call)
			require.Equal(t, c.requiresKey, call.RequiresKey)
			require.Equal(t, c.has, call.Organisation != nil)
			if c.has {
				require.EqualValues(t, "clinic", call.Organisation.ID)
			}
		})
	}
}

// Guards against a key that still works after it was withdrawn, a new key that does not, and
// a call under way that loses its organisation.
func TestKeysFollowTheTableInForce(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.world.RouteTable = keyedTable(t, 1, clinic("old"))
	r.arriveWith("/one/x", credential("old"))
	r.requireSent(1)
	r.world.RouteTable = keyedTable(t, 2, clinic("new"))
	require.EqualValues(t, "clinic", r.world.Calls.Get(r.call).Organisation.ID)
	r.reply(1, carobkind.Busy)
	r.requireSent(2)
	first := r.call
	r.call.Sequence++
	r.arriveWith("/one/x", credential("old"))
	require.Len(t, r.world.Outbox.Conclusions, 1)
	require.Equal(t, carobkind.Unauthenticated, r.world.Outbox.Conclusions[0].Kind)
	r.arriveWith("/one/x", credential("new"))
	r.requireSent(1)
	require.NotNil(t, r.world.Calls.Get(first), "the call under way goes on")
}

// Guards against a key that leaves the node although it must not, or that is removed although
// the table requires no keys, and against offers that name no organisation or another one.
func TestAttemptsCarryTheOrganisation(t *testing.T) {
	for _, c := range []struct {
		name, path   string
		requiresKey  bool
		organisation caroborganisationid.ID
		priority     int
	}{
		{"route", "/one/x", true, "clinic", 2},
		{"anonymous route", "/open/x", true, "", 0},
		{"table without keys", "/one/x", false, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, carobguarantee.OncePerCall)
			r.world.RouteTable = keyedTable(t, 1, clinic("key"))
			r.world.RouteTable.RequiresKey = c.requiresKey
			r.arriveWith(c.path, credential("key"))
			// The table in force at the arrival counts, also for later attempts.
			r.world.RouteTable = keyedTable(t, 2)
			r.world.RouteTable.RequiresKey = !c.requiresKey
			for attempt := 1; attempt <= 2; attempt++ {
				r.requireSent(attempt)
				send := r.world.Outbox.Sends[0]
				require.Equal(t, c.requiresKey, send.RemoveIdentity)
				require.Equal(t, c.organisation, send.Requirements.Organisation)
				require.Equal(t, c.priority, send.Requirements.OrganisationPriority)
				r.reply(attempt, carobkind.Busy)
			}
		})
	}
}

// Guards against refused calls of an organisation that an operator cannot tell from those of
// others.
func TestRefusalNamesTheOrganisation(t *testing.T) {
	r := newRig(t, carobguarantee.OncePerCall)
	r.world.RouteTable = keyedTable(t, 1, clinic("key"))
	r.world.Groups.Delete(service)
	r.arriveWith("/one/x", credential("key"))
	r.requireConcluded(carobkind.NoTarget)
	require.Len(t, r.world.Outbox.Decisions, 1)
	require.EqualValues(t, "clinic", r.world.Outbox.Decisions[0].Organisation)
	r.arriveWith("/one/x", credential("other"))
	require.Empty(t, r.world.Outbox.Decisions[0].Organisation)
}
