// Package carobappendrequest holds the effect of appending a record and reporting
// the result.
package carobappendrequest

import "github.com/carobknot/carobknot/pkg/carobstream"

// AppendRequest requests one append. It is not retried by the goroutine that
// carries it out; its result comes back as a message.
type AppendRequest struct {
	Stream carobstream.Stream
	// Number identifies the request among those of this node. A request that is
	// repeated has the same number.
	Number uint64
	// Data is the content of the record.
	Data []byte
}
