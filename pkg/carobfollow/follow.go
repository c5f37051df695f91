// Package carobfollow holds the order to follow a stream of the log.
package carobfollow

import "github.com/carobknot/carobknot/pkg/carobstream"

// Follow orders that a stream is read from its first kept record on, or that
// reading it ends.
type Follow struct {
	Stream carobstream.Stream
	On     bool
}
