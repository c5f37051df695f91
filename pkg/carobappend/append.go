// Package carobappend holds the effect of appending a record with retries.
package carobappend

import "github.com/carobknot/carobknot/pkg/carobstream"

// RetriedAppend requests that a record is appended. It is retried while the log is
// unavailable, so the record may be in the log more than once.
type RetriedAppend struct {
	Stream carobstream.Stream
	// Data is the content of the record. It replaces that of an earlier append to
	// the stream that is still pending.
	Data []byte
}
