// Package carobclaimreply holds the message that answers a claim.
package carobclaimreply

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobgrant"
	"github.com/carobknot/carobknot/pkg/carobkept"
)

// Reply is the home's answer to a claim, sent to the entry node of the call.
type Reply struct {
	Call  carobcallid.ID   `json:"call"`
	Result carobgrant.ClaimResult `json:"grant"`
	// StoredAnswer is the stored answer of the earlier call that ran, or nil.
	StoredAnswer *carobkept.StoredAnswer `json:"kept,omitempty"`
}
