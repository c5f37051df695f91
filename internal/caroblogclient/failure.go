package caroblogclient

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// kindOfFailure returns the kind of a failed request: LogUnavailable if no connection
// could be opened, since the log then cannot have appended anything, and
// AppendUncertain otherwise.
func kindOfFailure(err error) carobkind.Kind {
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return carobkind.LogUnavailable
	}
	return carobkind.AppendUncertain
}
