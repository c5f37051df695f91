// Package carobdelivery holds the tick input that reports how the forwarding of an
// answer's body ended.
package carobdelivery

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Delivery reports how the forwarding of an answer's body to the caller ended.
type Delivery struct {
	Job carobjobid.ID
	// Kind is None if the whole answer was forwarded.
	Kind carobkind.Kind
	// StoredAnswer is the whole answer if it is small enough to be kept; nil otherwise.
	StoredAnswer *carobstoredanswer.StoredAnswer
}
