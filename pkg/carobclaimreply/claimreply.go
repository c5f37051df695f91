// Package carobclaimreply holds the message that answers a claim.
package carobclaimreply

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// ClaimReply is the home's answer to a claim, sent to the entry node of the call.
type ClaimReply struct {
	Call   carobcallid.ID               `json:"call"`
	Result carobclaimresult.ClaimResult `json:"grant"`
	// StoredAnswer is the stored answer of the earlier call that ran, or nil.
	StoredAnswer *carobstoredanswer.StoredAnswer `json:"kept,omitempty"`
}
