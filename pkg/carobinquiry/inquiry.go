// Package carobinquiry holds the rows of the probes that wait for an answer.
package carobinquiry

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// Inquiry is a probe of a node that has not answered yet.
type Inquiry struct {
	Node carobnodeid.ID
	// Sent is when the probe was sent.
	Sent carobinstant.Instant
	// Relayed says that other nodes were asked to probe too.
	Relayed bool
}
