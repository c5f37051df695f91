// Package carobrecord holds the records of the platform's log.
package carobrecord

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Record is one record as it stands in the log.
type Record struct {
	Stream carobstream.Stream `json:"stream,omitempty"`
	Offset caroboffset.Offset `json:"offset"`
	// Data is what was appended.
	Data []byte `json:"data"`
}
