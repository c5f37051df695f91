// Package carobsettlement holds the results of calls that claimed a key.
package carobsettlement

import (
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// Settlement is the result of a call whose entry node sent a claim, whether or not
// the claim was answered.
type Settlement struct {
	Claim carobclaim.Claim `json:"claim"`
	// Kind is None if the call ran and was answered. A kind for which the call did
	// not run releases the key; with any other kind, it is unknown whether it ran.
	Kind carobkind.Kind `json:"kind,omitempty"`
	// StoredAnswer is the answer to store for resubmissions, or nil.
	StoredAnswer *carobstoredanswer.StoredAnswer `json:"kept,omitempty"`
}
