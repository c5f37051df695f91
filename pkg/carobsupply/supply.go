// Package carobsupply holds the message that sends profile records to another node.
package carobsupply

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
)

// Supply answers a request for profile records.
type Supply struct {
	// Records have consecutive offsets, beginning with the requested one.
	Records []carobrecord.Record `json:"records,omitempty"`
	// Snapshot replaces the records if the sender no longer has all of them; nil
	// otherwise.
	Snapshot *carobsnapshot.Snapshot `json:"snapshot,omitempty"`
	// Read is the offset up to which the sender has applied the stream of profiles.
	Read caroboffset.Offset `json:"read"`
}

// Most is the maximum number of records in one answer.
const Most = 64

// Check returns an error of kind Invalid if the records are too many or not consecutive,
// or the snapshot is out of bounds.
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
