// Package carobclaim holds the claims of idempotency keys, as messages and records
// contain them.
package carobclaim

import (
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkey"
)

// Claim requests that, of all calls with a key, only this call runs.
type Claim struct {
	Key  carobkey.Key   `json:"key"`
	Call carobcallid.ID `json:"call"`
}
