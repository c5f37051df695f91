// Package carobquotagrant holds what an allocator grants of one organisation's quota.
package carobquotagrant

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// QuotaGrant is the part of an allocator's reply that concerns one organisation.
type QuotaGrant struct {
	Organisation caroborganisationid.ID `json:"name"`
	// Tokens is the number of tokens granted.
	Tokens int `json:"tokens,omitempty"`
	// Wait is the time until tokens are expected, if there are too few for the calls that wait
	// at the node; 0 if all got one, or if none are expected.
	Wait carobduration.Duration `json:"wait,omitempty"`
}

// maxTokens is the largest number of tokens in a grant, as in a demand.
const maxTokens = 2_000_000

// Check returns an error of kind Invalid if a field is out of bounds.
func (q QuotaGrant) Check() error {
	if err := q.Organisation.Check(); err != nil {
		return err
	}
	if q.Tokens < 0 || q.Tokens > maxTokens || q.Wait < 0 {
		return carobkind.New(carobkind.Invalid, "quota reply: a number is not between 0 and %d", maxTokens)
	}
	return nil
}
