// Package carobroutefetch asks another node for its route table.
package carobroutefetch

import "github.com/carobknot/carobknot/pkg/carobrouteversion"

// Fetch asks for the route table if it is newer than what the sender has. One
// with no newer table to give is not answered.
type Fetch struct {
	// Have is the sender's version.
	Have carobrouteversion.Version `json:"have"`
}

// Check tells whether the fetch is within its bounds.
func (f Fetch) Check() error {
	return nil
}
