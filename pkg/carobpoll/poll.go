// Package carobpoll holds the question for the load of a target.
package carobpoll

import "github.com/carobknot/carobknot/pkg/carobtargetid"

// Poll asks a target's node for a report.
type Poll struct {
	// Target is checked when it is decoded.
	Target carobtargetid.ID `json:"target"`
}
