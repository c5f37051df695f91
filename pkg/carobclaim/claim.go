// Package carobclaim holds the message and record that claims an idempotency key.
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
