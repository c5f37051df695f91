// Package carobchange holds changes of profiles as they stand in the log.
package carobchange

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobprofile"
)

// Change is one change of a profile. Its place in the log is the revision that
// it makes, if it wins.
type Change struct {
	Profile carobprofile.Profile `json:"profile"`
	// Who published the change.
	Who string `json:"who"`
	// When it was published, on the operator's clock. It decides nothing.
	When time.Time `json:"when"`
}
