// Package carobrouterejection holds why a node cannot use a route table that its operator
// has published.
package carobrouterejection

import "github.com/carobknot/carobknot/pkg/carobrouteversion"

// RouteRejection is a published route table that could not be read.
type RouteRejection struct {
	// Version is the version of the table; None if it could not be read.
	Version carobrouteversion.Version `json:"version"`
	// Reason is the error, as text for operators.
	Reason string `json:"reason"`
}
