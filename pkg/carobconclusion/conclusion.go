// Package carobconclusion holds the order to tell a caller the end of its call.
package carobconclusion

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Conclusion orders that the caller gets an attempt's answer or an error.
type Conclusion struct {
	Call carobcallid.ID
	// Kind is the error; None if the caller gets an answer.
	Kind carobkind.Kind
	// After is when the caller may try again; 0 is what the kind
	// says.
	After time.Duration
	// Attempt is the one whose answer the caller gets; 0 if Kind is not None.
	Attempt int
	// Kept is an answer kept from an earlier call, which the caller gets if it is
	// not nil. Kind is None and Attempt is 0 then.
	Kept *carobkept.Kept
}
