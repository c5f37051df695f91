// Package carobaudit holds the entries of the audit trail of changes.
package carobaudit

import "time"

// Audit says who changed what, when, from what, to what.
type Audit struct {
	When time.Time `json:"when"`
	Who  string    `json:"who"`
	// Part is the part of the system that saw the change.
	Part string `json:"part"`
	What string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
	// Local says that the entry goes to the log lines only, since the platform's
	// log has the change already.
	Local bool `json:"-"`
}
