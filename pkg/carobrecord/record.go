// Package carobrecord holds the records that are read from the platform's log.
package carobrecord

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Record is one record of a stream.
type Record struct {
	Stream carobstream.Stream `json:"stream,omitempty"`
	Offset caroboffset.Offset `json:"offset"`
	// Data is the content as it was appended.
	Data []byte `json:"data"`
}
