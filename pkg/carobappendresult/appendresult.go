// Package carobappendresult holds the message with the result of an append.
package carobappendresult

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// AppendResult is the result of one append.
type AppendResult struct {
	Stream carobstream.Stream
	// Number is the number of the append request.
	Number uint64
	// Kind is None if the record was appended, LogUnavailable if it certainly was
	// not, and AppendUncertain if neither is certain.
	Kind carobkind.Kind
}
