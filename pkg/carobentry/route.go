package carobentry

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// findRoute returns the route that matches the host and path of a call, and sets
// the call's service to one of the route's weighted services. It returns nil if
// there is no match or no route table.
func findRoute(world *carobworld.World, arrival *carobarrival.Arrival) *carobroute.Route {
	if world.RouteTable == nil {
		return nil
	}
	route := world.RouteTable.Match(arrival.Host, arrival.Path)
	if route != nil {
		arrival.Service = route.WeightedServices[pickService(world, route.WeightedServices)].Service
	}
	return route
}

// pickService returns the index of a random service of a route, weighted by the
// services' weights. The load of a service does not count, because the weights
// are the shares of calls that the operator set.
func pickService(world *carobworld.World, services []carobweightedservice.WeightedService) int {
	if len(services) == 1 {
		return 0
	}
	var sum float64
	for _, weighted := range services {
		sum += weighted.Weight
	}
	point := world.Random.Float64() * sum
	for i, weighted := range services {
		if point < weighted.Weight {
			return i
		}
		point -= weighted.Weight
	}
	return 0
}

// noRouteKind returns the kind with which to refuse a call that has no route. It
// is NotReady until the node has a route table, because the table may contain the
// route.
func noRouteKind(world *carobworld.World) carobkind.Kind {
	if world.RouteTable == nil {
		return carobkind.NotReady
	}
	return carobkind.NoRoute
}
