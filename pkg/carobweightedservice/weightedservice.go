// Package carobweightedservice holds a service and its weight in a route.
package carobweightedservice

import "github.com/carobknot/carobknot/pkg/carobservice"

// WeightedService is a service that receives a share of a route's calls.
type WeightedService struct {
	Service carobservice.Service `json:"service"`
	// Weight is at least 0. The share is the weight divided by the sum of all
	// weights of the route.
	Weight float64 `json:"weight"`
}
