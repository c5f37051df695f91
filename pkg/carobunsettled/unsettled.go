// Package carobunsettled holds the rows of the settlements that the homes of their
// keys have not confirmed yet.
package carobunsettled

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Unsettled is a settlement that the entry node sends to the home again until the
// home confirms that it is in the log.
type Unsettled struct {
	Settlement carobsettlement.Settlement
	// Due is when the settlement is sent again.
	Due carobinstant.Instant
	// Pause is the delay from the next resend to the one after it. It grows with
	// each resend.
	Pause time.Duration
}
