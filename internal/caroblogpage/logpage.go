// Package caroblogpage holds the result of reading a stream of the platform's log.
package caroblogpage

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobrecord"
)

// LogPage holds consecutive records of a stream, from the requested offset on.
type LogPage struct {
	// Records are in the order of their offsets, without gaps. Empty if the stream
	// has no records from the requested offset on.
	Records []carobrecord.Record `json:"records"`
	// FirstOffset is the lowest offset that the log still retains.
	FirstOffset caroboffset.Offset `json:"first"`
	// NextOffset is the offset from which to continue: the one after the last record.
	// If Records is empty, it is the requested offset, or the lowest retained one if
	// that is higher.
	NextOffset caroboffset.Offset `json:"next"`
}
