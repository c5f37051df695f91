// Package carobholding defines the state of claimed idempotency keys.
package carobholding

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// Holding is the state of a key that a call has claimed.
type Holding struct {
	// Call is the first call that claimed the key, in the order of the log.
	Call carobcallid.ID
	// Offset is the offset of the record with the claim.
	Offset caroboffset.Offset
	// Settled is true once the call has been settled.
	Settled bool
	// Kind is the error kind that the call ended with, or None if it was answered.
	Kind carobkind.Kind
	// StoredAnswer is the stored answer, or nil if none is stored.
	StoredAnswer *carobstoredanswer.StoredAnswer
}
