// Package carobquotademand holds what a node needs of one organisation's quota.
package carobquotademand

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// QuotaDemand is the part of a request to an allocator that concerns one organisation.
type QuotaDemand struct {
	Organisation caroborganisationid.ID `json:"name"`
	// Held is the number of tokens that the node keeps.
	Held int `json:"held,omitempty"`
	// Returned is the number of tokens that the node gives back. It no longer uses them.
	Returned int `json:"back,omitempty"`
	// Waiting is the number of calls that wait for a token, and Stock the number of tokens
	// beyond these that the node wants for later calls.
	Waiting int `json:"waiting,omitempty"`
	Stock   int `json:"stock,omitempty"`
}

// maxTokens is the largest number in a demand. It is far beyond the calls of one node.
const maxTokens = 1_000_000

// Check returns an error of kind Invalid if a field is out of bounds.
func (q QuotaDemand) Check() error {
	if err := q.Organisation.Check(); err != nil {
		return err
	}
	if min(q.Held, q.Returned, q.Waiting, q.Stock) < 0 || max(q.Held, q.Returned, q.Waiting, q.Stock) > maxTokens {
		return carobkind.New(carobkind.Invalid, "quota request: a number is not between 0 and %d", maxTokens)
	}
	return nil
}
