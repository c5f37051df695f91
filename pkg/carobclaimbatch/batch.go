// Package carobclaimbatch holds the records of the streams of claims.
package carobclaimbatch

import (
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Batch is one record: the taking over of a shard, or claims and settlements.
// The same batch may stand in the log twice; the second changes nothing.
type Batch struct {
	// Node, Incarnation and Number name the batch.
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Number      uint64                       `json:"number"`
	// Take says that the writer takes the shard over. The offset of this record
	// is the new epoch.
	Take bool `json:"take,omitempty"`
	// Epoch is the one that the writer's claims hold in.
	Epoch       caroboffset.Offset           `json:"epoch"`
	Claims      []carobclaim.Claim           `json:"claims,omitempty"`
	Settlements []carobsettlement.Settlement `json:"settlements,omitempty"`
}
