// Package carobroutefetch holds the message that requests another node's route table.
package carobroutefetch

import "github.com/carobknot/carobknot/pkg/carobrouteversion"

// RouteFetch requests the route table if it is newer than the sender's. A node without a newer
// one does not answer.
type RouteFetch struct {
	// Version is the version of the sender's table; None if it has no table.
	Version carobrouteversion.Version `json:"have"`
}

// Check returns nil, because every version is valid.
func (f RouteFetch) Check() error {
	return nil
}
