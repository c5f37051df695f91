package carobrouting

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// candidate is a target that may get an attempt.
type candidate struct {
	target carobtargetid.ID
	node   carobnodeid.ID
	// peer is empty if the target is this node's own.
	peer        carobaddress.Address
	incarnation carobincarnation.Incarnation
	slots       int
	// load is the row in the table of loads.
	load *carobload.Load
}

// inFlight estimates the calls at the target: those of the newest report, and
// the own ones sent since.
func (c candidate) inFlight() int {
	return c.load.Report.Running + c.load.Report.Queued + c.load.Sent
}
