// Package carobjobid holds the IDs of the attempts of calls, which the target's node
// treats as jobs.
package carobjobid

import (
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobcallid"
)

// ID identifies one attempt of a call.
type ID struct {
	// Call is the call that the attempt belongs to.
	Call carobcallid.ID `json:"call"`
	// Attempt is the number of the attempt, from 1.
	Attempt int `json:"attempt"`
}

// String returns the ID as "call#attempt".
func (i ID) String() string {
	return i.Call.String() + "#" + strconv.Itoa(i.Attempt)
}
