// Package carobappend holds the order to append a record to the log.
package carobappend

import "github.com/carobknot/carobknot/pkg/carobstream"

// Append orders that a record is appended.
type Append struct {
	Stream carobstream.Stream
	Data   []byte
}
