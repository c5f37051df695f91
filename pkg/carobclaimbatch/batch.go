// Package carobclaimbatch holds the records in the log streams of claims.
package carobclaimbatch

import (
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Batch is one record: either the takeover of a shard by a home, or claims and
// settlements. A retried append can put the same batch into the log twice. A second
// copy of claims and settlements has no effect; that of a takeover starts another
// epoch.
type Batch struct {
	// Node, Incarnation and Number identify the batch: the home that wrote it, and
	// the number of the batch among those of this incarnation.
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Number      uint64                       `json:"number"`
	// Takeover is true if the writer takes the shard over. The offset of this
	// record is then the new epoch.
	Takeover bool `json:"take,omitempty"`
	// Epoch is the epoch that the claims belong to. They are ignored in any other.
	Epoch       caroboffset.Offset           `json:"epoch"`
	Claims      []carobclaim.Claim           `json:"claims,omitempty"`
	Settlements []carobsettlement.Settlement `json:"settlements,omitempty"`
}
