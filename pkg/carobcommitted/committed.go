// Package carobcommitted holds the message that an append has ended.
package carobcommitted

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Committed tells how a commit went.
type Committed struct {
	Stream carobstream.Stream
	Number uint64
	// Kind is None if the record was appended, LogOut if it certainly was not,
	// and Unsure otherwise.
	Kind carobkind.Kind
}
