// Package carobconclusion defines the effect that sends the response of a call to
// its caller.
package carobconclusion

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// Conclusion orders that the caller of a call gets the answer to an attempt, a
// stored answer or an error.
type Conclusion struct {
	Call carobcallid.ID
	// Kind is the error; None if the caller gets an answer.
	Kind carobkind.Kind
	// RetryAfter is the time after which the caller may retry; if it is 0, the
	// kind's own retry time applies.
	RetryAfter time.Duration
	// Attempt is the number of the attempt whose answer the caller gets; 0 if there
	// is an error or a stored answer.
	Attempt int
	// BodyTimeout is how long the rest of the answer's body may take to arrive from the
	// target, after which the answer is cut off; 0 if there is no limit.
	BodyTimeout time.Duration
	// StoredAnswer is the stored answer to an earlier call with the same idempotency
	// key; nil if the caller gets something else. Kind is None and Attempt is 0 if
	// it is set.
	StoredAnswer *carobstoredanswer.StoredAnswer
}
