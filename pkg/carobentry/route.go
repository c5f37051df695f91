package carobentry

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobweightedservice"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// findRoute returns the route that matches the host and path of a call, and sets the
// call's service to one of the route's parts. It returns nil if there is no match
// or no route table.
func findRoute(world *carobworld.World, arrival *carobarrival.Arrival) *carobroute.Route {
	if world.RouteTable == nil {
		return nil
	}
	route := world.RouteTable.Match(arrival.Host, arrival.Path)
	if route != nil {
		arrival.Service = route.WeightedServices[pickPart(world, route.WeightedServices)].Service
	}
	return route
}

// pickPart returns the index of a random part of a route, weighted by the parts'
// weights. The load of a part does not count, because the weights are the shares
// of calls that the operator set.
func pickPart(world *carobworld.World, split []carobweightedservice.WeightedService) int {
	if len(split) == 1 {
		return 0
	}
	var sum float64
	for _, pt := range split {
		sum += pt.Weight
	}
	point := world.Random.Float64() * sum
	for i, pt := range split {
		if point < pt.Weight {
			return i
		}
		point -= pt.Weight
	}
	return 0
}

// noRouteKind returns the kind of a call that has no route. It is NotReady until the
// node has a route table, because the table may contain the route.
func noRouteKind(world *carobworld.World) carobkind.Kind {
	if world.RouteTable == nil {
		return carobkind.NotReady
	}
	return carobkind.NoRoute
}
