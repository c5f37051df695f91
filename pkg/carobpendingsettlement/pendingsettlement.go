// Package carobpendingsettlement holds the rows of the settlements that the homes
// of their keys have not confirmed yet.
package carobpendingsettlement

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// PendingSettlement is a settlement that the entry node resends until the home of
// the key confirms that the log contains it.
type PendingSettlement struct {
	Settlement carobsettlement.Settlement
	// ResendAt is when the settlement is sent again.
	ResendAt carobinstant.Instant
	// Backoff is the delay from the next resend to the one after it. It grows with
	// each resend.
	Backoff time.Duration
}
