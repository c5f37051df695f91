// Package carobpart holds the parts that a route splits its calls into.
package carobpart

import "github.com/carobknot/carobknot/pkg/carobservice"

// Part is a service that gets a share of a route's calls.
type Part struct {
	Service carobservice.Service `json:"service"`
	// Weight is at least 0. The share is that of all weights of the route.
	Weight float64 `json:"weight"`
}
