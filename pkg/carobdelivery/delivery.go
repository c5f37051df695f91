// Package carobdelivery holds the message that an answer was passed on.
package carobdelivery

import (
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Delivery tells how the passing on of an answer's body ended.
type Delivery struct {
	Job carobjobid.ID
	// Kind is None if the whole answer was passed on.
	Kind carobkind.Kind
	// Kept is the whole answer, if it is small; nil otherwise.
	Kept *carobkept.Kept
}
