package carobentry

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobpart"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// lookUp finds the route of a call and picks its service, or returns nil.
func lookUp(w *carobworld.World, ar *carobarrival.Arrival) *carobroute.Route {
	if w.Routes == nil {
		return nil
	}
	rt := w.Routes.Match(ar.Host, ar.Path)
	if rt != nil {
		ar.Service = rt.Split[pick(w, rt.Split)].Service
	}
	return rt
}

// pick draws a part of a route by the weights. A part that is short of room keeps
// its share: the operator wants just that much of the calls there.
func pick(w *carobworld.World, split []carobpart.Part) int {
	if len(split) == 1 {
		return 0
	}
	var sum float64
	for _, pt := range split {
		sum += pt.Weight
	}
	at := w.Random.Float64() * sum
	for i, pt := range split {
		if at < pt.Weight {
			return i
		}
		at -= pt.Weight
	}
	return 0
}

// unrouted returns the kind of a call without a route: a node that knows no route
// table yet cannot say that there is none.
func unrouted(w *carobworld.World) carobkind.Kind {
	if w.Routes == nil {
		return carobkind.NotReady
	}
	return carobkind.NoRoute
}
