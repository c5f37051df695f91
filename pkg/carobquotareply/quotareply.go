// Package carobquotareply holds the message by which an allocator grants tokens.
package carobquotareply

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobquotagrant"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
)

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// Number is that of the request.
	Number uint64 `json:"number"`
	// Stamp is the reading of the allocator's clock. It has no meaning for the receiver, whose
	// next request sends it back.
	Stamp carobinstant.Instant `json:"stamp"`
	// Released is true if the allocator is leaving and no longer counts the node's share, which
	// the node may use or lend to another one at once.
	Released bool `json:"released,omitempty"`
	// Grants has the organisations of which tokens were granted, or of which there are too few.
	Grants []carobquotagrant.QuotaGrant `json:"grants,omitempty"`
}

// Check returns an error of kind Invalid if a field is out of bounds.
func (q QuotaReply) Check() error {
	if q.Stamp < 0 || len(q.Grants) > carobquotarequest.MaxDemands {
		return carobkind.New(carobkind.Invalid, "quota reply: a field is out of bounds")
	}
	for i := range q.Grants {
		if err := q.Grants[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
