// Package carobaudit holds the entries of the audit trail.
package carobaudit

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinput"
)

// Audit is a record of one change: who changed what and when, with the old and the
// new value.
type Audit struct {
	When time.Time `json:"when"`
	Who  string    `json:"who"`
	// Component is the component of the system that detected the change.
	Component string `json:"part"`
	What      string `json:"what"`
	From      string `json:"from"`
	To        string `json:"to"`
	// LocalOnly is true if the entry is written only to the node's own log lines,
	// because the platform's log already contains the change.
	LocalOnly bool `json:"-"`
	// Inputs are values that explain the change in the node's own log lines; nil if there are
	// none.
	Inputs []carobinput.Input `json:"-"`
}
