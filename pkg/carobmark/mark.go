// Package carobmark says how far a stream of the platform's log reaches.
package carobmark

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Mark is the bounds of a stream as a read of it found them.
type Mark struct {
	Stream carobstream.Stream
	// First is the first offset that the log still keeps.
	First caroboffset.Offset
	// Next is the offset after the last record that was read.
	Next caroboffset.Offset
}
