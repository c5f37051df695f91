// Package carobclaimreply holds the message that answers a claim.
package carobclaimreply

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobgrant"
	"github.com/carobknot/carobknot/pkg/carobkept"
)

// Reply tells a call's entry node what became of its claim.
type Reply struct {
	Call  carobcallid.ID   `json:"call"`
	Grant carobgrant.Grant `json:"grant"`
	// Kept is the answer of the call that ran; nil if there is none.
	Kept *carobkept.Kept `json:"kept,omitempty"`
}
