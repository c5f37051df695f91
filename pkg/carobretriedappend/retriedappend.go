// Package carobretriedappend holds the effect of an append that is retried.
package carobretriedappend

import "github.com/carobknot/carobknot/pkg/carobstream"

// RetriedAppend requests that a record is appended. The append is retried while the log is
// unavailable, so the record may be in the log more than once.
type RetriedAppend struct {
	Stream carobstream.Stream
	// Data is the content of the record. It replaces that of an earlier append to
	// the stream that is still pending.
	Data []byte
}
