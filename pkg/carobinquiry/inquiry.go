// Package carobinquiry holds the question for the load of a target.
package carobinquiry

import (
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Inquiry asks a target's node for a report.
type Inquiry struct {
	// Target is checked when it is decoded.
	Target carobtargetid.ID `json:"target"`
}
