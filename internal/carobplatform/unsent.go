package carobplatform

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// unsent returns LogOut if no connection was opened, so that nothing can have
// been appended, and Unsure otherwise.
func unsent(err error) carobkind.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return carobkind.LogUnavailable
	}
	return carobkind.AppendUncertain
}
