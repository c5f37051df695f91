// Package caroboutbox holds the effects that a tick ends with.
package caroboutbox

import (
	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstart"
)

// Outbox has one queue for each kind of effect. Systems append; the traffic
// goroutines carry out and decide nothing.
type Outbox struct {
	Sends       []carobsend.Send
	Conclusions []carobconclusion.Conclusion
	// Cancels are attempts whose reply is no longer wanted.
	Cancels  []carobjobid.ID
	Starts   []carobstart.Start
	Refusals []carobrefusal.Refusal
	// Reports are what answers and refusals carry from now on.
	Reports []carobreport.Report
	Gossips []carobgossip.Gossip
	Appends []carobappend.Append
	Audits  []carobaudit.Audit
	Hops    []carobhop.Hop
	// Stopped says that a graceful shutdown is complete.
	Stopped bool
}
