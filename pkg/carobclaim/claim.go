// Package carobclaim holds the claims of idempotency keys.
package carobclaim

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkey"
)

// Claim says that a call wants to be the only one to run with its key.
type Claim struct {
	Key  carobkey.Key   `json:"key"`
	Call carobcallid.ID `json:"call"`
}
