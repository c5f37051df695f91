// Package carobappend holds the order to append a record to the log.
package carobappend

import "github.com/carobknot/carobknot/pkg/carobstream"

// Append orders that a record is appended. It is tried again while the log is
// out, so the record may come to stand in the log more than once.
type Append struct {
	Stream carobstream.Stream
	// Data takes the place of an earlier append to the stream that still waits.
	Data []byte
}
