// Package carobholding holds the rows of the claimed keys.
package carobholding

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// Holding is a key that a call has claimed.
type Holding struct {
	// Call is the first that claimed the key, in the order of the log.
	Call carobcallid.ID
	// Offset is that of the record with the claim.
	Offset caroboffset.Offset
	// Ended says that the call is over.
	Ended bool
	// Kind is how it ended; None if it was answered.
	Kind carobkind.Kind
	// Kept is the answer; nil if it is not kept.
	Kept *carobkept.Kept
}
