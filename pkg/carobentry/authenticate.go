package carobentry

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// requiresKey reports whether the route table in force requires API keys.
func requiresKey(world *carobworld.World) bool {
	return world.RouteTable != nil && world.RouteTable.RequiresKey
}

// authenticate returns the organisation whose API key an arriving call carries, and whether
// the call may proceed. The organisation is nil if calls need no key, or if the route is
// anonymous; a key that such a call carries has no effect. route is nil if the caller named
// the service.
func authenticate(world *carobworld.World, arrival carobarrival.Arrival, route *carobroute.Route) (*caroborganisation.Organisation, bool) {
	if !requiresKey(world) || route != nil && route.Anonymous {
		return nil, true
	}
	if !arrival.Credential.Valid {
		return nil, false
	}
	organisation := world.RouteTable.Organisation(arrival.Credential.Key)
	return organisation, organisation != nil
}
