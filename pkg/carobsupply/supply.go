// Package carobsupply gives profile records to another node.
package carobsupply

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
)

// Supply answers a Fetch.
type Supply struct {
	// Records follow each other without gaps, from the one that was asked for.
	Records []carobrecord.Record `json:"records,omitempty"`
	// Snapshot stands in for Records if the sender has them no more.
	Snapshot *carobsnapshot.Snapshot `json:"snapshot,omitempty"`
	// Read is how far the sender has read.
	Read caroboffset.Offset `json:"read"`
}

// Most is the most records in one supply.
const Most = 64

// Check tells whether the supply is within its bounds.
func (s Supply) Check() error {
	if len(s.Records) > Most {
		return carobkind.New(carobkind.Invalid, "supply: more than %d records", Most)
	}
	for i, rc := range s.Records {
		if rc.Offset < 0 || rc.Offset != s.Records[0].Offset+caroboffset.Offset(i) {
			return carobkind.New(carobkind.Invalid, "supply: record %d is out of order", rc.Offset)
		}
	}
	if s.Snapshot != nil {
		return s.Snapshot.Check()
	}
	return nil
}
