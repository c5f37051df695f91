// Package carobloadprobe holds the message that requests the load of a target.
package carobloadprobe

import "github.com/carobknot/carobknot/pkg/carobtargetid"

// LoadProbe requests a report from a target's node.
type LoadProbe struct {
	// Target is the target whose load is requested. It is validated when it is decoded.
	Target carobtargetid.ID `json:"target"`
}
