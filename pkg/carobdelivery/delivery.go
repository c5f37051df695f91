// Package carobdelivery holds the tick input that reports how the forwarding of an
// answer's body ended.
package carobdelivery

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// Delivery reports how the forwarding of an answer's body to the caller ended.
type Delivery struct {
	Job carobjobid.ID
	// Kind is None if the whole answer was forwarded.
	Kind carobkind.Kind
	// StoredAnswer is the whole answer if it is small enough to be stored; nil otherwise.
	StoredAnswer *carobstoredanswer.StoredAnswer
}
