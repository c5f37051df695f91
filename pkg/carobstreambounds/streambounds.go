// Package carobstreambounds holds the bounds of the streams in the platform's log.
package carobstreambounds

import (
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// StreamBounds holds the bounds of a stream that a read of it found.
type StreamBounds struct {
	Stream carobstream.Stream
	// First is the lowest offset that the log still keeps.
	First caroboffset.Offset
	// Next is the offset after the last record that was read.
	Next caroboffset.Offset
	// AtEnd is true if no record followed when the stream was read.
	AtEnd bool
}
