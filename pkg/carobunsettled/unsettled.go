// Package carobunsettled holds the rows of the ended calls whose ends the homes
// of their keys do not have yet.
package carobunsettled

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Unsettled is the end of a call that claimed a key, until it stands in the log.
type Unsettled struct {
	Settlement carobsettlement.Settlement
	// Due is when the home is told again.
	Due carobinstant.Instant
	// Pause is the time between the last two tellings. It grows.
	Pause time.Duration
}
