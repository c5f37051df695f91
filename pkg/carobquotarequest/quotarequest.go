// Package carobquotarequest holds the message by which a node lends its share of all quotas to
// an allocator and requests tokens.
package carobquotarequest

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobquotademand"
)

// QuotaRequest renews the node's lease, and states the tokens that the node holds and needs.
type QuotaRequest struct {
	// Number identifies the request within the sender's incarnation. It increases.
	Number uint64 `json:"number"`
	// Stamp is the newest reading of the allocator's clock that the node received, and Issuer
	// the allocator's incarnation that sent it. Both are 0 if the node lends nothing.
	Stamp  carobinstant.Instant         `json:"stamp,omitempty"`
	Issuer carobincarnation.Incarnation `json:"issuer,omitempty"`
	// Nodes is the number of nodes that the sender divides the quotas by: it lends 1/Nodes of each.
	// It is 0 if the sender lends nothing.
	Nodes int `json:"nodes,omitempty"`
	// Complete is true if Demands has all organisations of which the node holds or needs tokens.
	// Otherwise the node still holds as many as the allocator recorded of those that are left out.
	Complete bool `json:"all,omitempty"`
	// Demands has the organisations of which the node needs tokens, or holds others than the
	// allocator recorded.
	Demands []carobquotademand.QuotaDemand `json:"demands,omitempty"`
}

// MaxDemands is the maximum number of organisations in a request, and of those that a node holds
// tokens of.
const MaxDemands = 4096

// maxNodes is the largest number of nodes in a request.
const maxNodes = 1_000_000

// Check returns an error of kind Invalid if a field is out of bounds.
func (q QuotaRequest) Check() error {
	if q.Stamp < 0 || q.Nodes < 0 || q.Nodes > maxNodes || len(q.Demands) > MaxDemands {
		return carobkind.New(carobkind.Invalid, "quota request: a field is out of bounds")
	}
	seen := make(map[caroborganisationid.ID]bool, len(q.Demands))
	for i := range q.Demands {
		if err := q.Demands[i].Check(); err != nil {
			return err
		}
		if seen[q.Demands[i].Organisation] {
			return carobkind.New(carobkind.Invalid, "quota request: organisation %s is listed twice", q.Demands[i].Organisation)
		}
		seen[q.Demands[i].Organisation] = true
	}
	return nil
}
