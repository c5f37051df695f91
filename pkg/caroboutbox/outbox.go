// Package caroboutbox holds the effects that a tick ends with.
package caroboutbox

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobcheck"
	"github.com/carobknot/carobknot/pkg/carobcommit"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobfollow"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstart"
)

// Outbox has one queue for each kind of effect. Systems append; the traffic
// goroutines carry out and decide nothing.
type Outbox struct {
	// Messages are to other nodes.
	Messages []carobmessage.Message

	// Membership and the log.

	Appends []carobappend.Append
	// ChangeResults say what became of the changes of profiles that were folded in.
	ChangeResults []carobchangeresult.ChangeResult
	// Following says whether this node follows the operator's records from now on.
	Following bool
	// Hold is how long the store may hold a follower's read that finds nothing.
	Hold time.Duration
	// Stopped says that a graceful shutdown is complete.
	Stopped bool

	// Admission and claims.

	Starts   []carobstart.Start
	Refusals []carobrefusal.Refusal
	// Commits are appended to the log, and how that went is told.
	Commits []carobcommit.Commit
	// Follows are the streams to follow from now on, or not any more.
	Follows []carobfollow.Follow
	// Checks are health checks of own targets.
	Checks []carobcheck.Check
	// Reports are what answers and refusals carry from now on.
	Reports []carobreport.Report

	// Entry and routing.

	Sends []carobsend.Send
	// Cancels are attempts whose reply is no longer wanted.
	Cancels     []carobjobid.ID
	Conclusions []carobconclusion.Conclusion

	// What on call and auditors see.

	Audits    []carobaudit.Audit
	Decisions []carobdecision.Decision
	Hops      []carobhop.Hop
}
