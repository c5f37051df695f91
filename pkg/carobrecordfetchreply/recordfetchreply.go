// Package carobrecordfetchreply holds the message that sends profile records to another node.
package carobrecordfetchreply

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsnapshot"
)

// RecordFetchReply answers a request for profile records.
type RecordFetchReply struct {
	// Records have consecutive offsets, beginning with the requested one.
	Records []carobrecord.Record `json:"records,omitempty"`
	// Snapshot replaces the records if the sender no longer has all of them; nil
	// otherwise.
	Snapshot *carobsnapshot.Snapshot `json:"snapshot,omitempty"`
	// ProfilesRead is the offset up to which the sender has applied the stream of profiles.
	ProfilesRead caroboffset.Offset `json:"read"`
}

// MaxRecords is the maximum number of records in one reply.
const MaxRecords = 64

// Check returns an error of kind Invalid if the records are too many or not consecutive,
// or the snapshot is out of bounds.
func (f RecordFetchReply) Check() error {
	if len(f.Records) > MaxRecords {
		return carobkind.New(carobkind.Invalid, "record fetch reply: more than %d records", MaxRecords)
	}
	for i, rc := range f.Records {
		if rc.Offset < 0 || rc.Offset != f.Records[0].Offset+caroboffset.Offset(i) {
			return carobkind.New(carobkind.Invalid, "record fetch reply: record %d is out of order", rc.Offset)
		}
	}
	if f.Snapshot != nil {
		return f.Snapshot.Check()
	}
	return nil
}
