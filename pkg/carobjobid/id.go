// Package carobjobid names the attempts at a call, which the admission side
// knows as jobs.
package carobjobid

import (
	"strconv"

	"github.com/carobknot/carobknot/pkg/carobcallid"
)

// ID names one attempt at a call.
type ID struct {
	// Call is the call that is tried.
	Call carobcallid.ID `json:"call"`
	// Attempt counts the attempts at the call from 1.
	Attempt int `json:"attempt"`
}

// String writes the ID as "call#attempt".
func (i ID) String() string {
	return i.Call.String() + "#" + strconv.Itoa(i.Attempt)
}
