// Package carobcommit holds the order to append a record and to tell how it went.
package carobcommit

import "github.com/carobknot/carobknot/pkg/carobstream"

// Commit orders one append. It is not tried again by whoever carries it out.
type Commit struct {
	Stream carobstream.Stream
	// Number names the commit in its stream.
	Number uint64
	Data   []byte
}
