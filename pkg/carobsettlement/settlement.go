// Package carobsettlement holds the ends of calls that claimed a key.
package carobsettlement

import (
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobkept"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Settlement tells how a call that claimed, or wanted to claim, its key ended.
type Settlement struct {
	Claim carobclaim.Claim `json:"claim"`
	// Kind is None if the call ran and was answered. A kind that says that the
	// call did not run gives the key free; any other leaves it unknown.
	Kind carobkind.Kind `json:"kind,omitempty"`
	// Kept is the answer; nil if it is not kept.
	Kept *carobkept.Kept `json:"kept,omitempty"`
}
