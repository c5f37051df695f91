// Package caroboutbox holds the effects of a tick.
package caroboutbox

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobchangeresult"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobhop"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobretriedappend"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobsubscription"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Outbox has one queue for each kind of effect. Systems append to the queues; the traffic
// goroutines carry the effects out and make no decisions.
type Outbox struct {
	// Messages are control messages to other nodes.
	Messages []carobmessage.Message

	// Membership and the log.

	RetriedAppends []carobretriedappend.RetriedAppend
	// ChangeResults are the results of the profile changes that were applied.
	ChangeResults []carobchangeresult.ChangeResult
	// ReadingStore is true while this node reads the store for its data centre.
	ReadingStore bool
	// AwaitingTable is true while this node waits for a route table with held reads.
	AwaitingTable bool
	// LongPollTimeout is how long the store may hold open a long-poll read that finds
	// nothing new. It is set only if AwaitingTable is true.
	LongPollTimeout time.Duration
	// ConfirmRoutes requests a read of the store that the store must not hold open.
	ConfirmRoutes bool
	// RoutesVersion is the version of the route table in force; None if there is no table.
	RoutesVersion carobrouteversion.Version
	// Organisations is the number of organisations in the route table in force.
	Organisations int
	// RoutesRejected is true if the newest route table in the store cannot be read.
	RoutesRejected bool
	// RoutesAge is how long ago the route table in force was last confirmed to be the newest;
	// 0 if it never was.
	RoutesAge time.Duration
	// RoutesReadAge is how long ago the last read of this node began that confirmed a route
	// table; 0 if none did.
	RoutesReadAge time.Duration
	// TickDelay is how long after its scheduled instant the tick began; 0 if messages caused it.
	TickDelay time.Duration
	// StoreEra is the newest era of the store that is known; None if none is.
	StoreEra carobstoreera.Era
	// Evacuations is the number of data centres that are evacuated.
	Evacuations int
	// Stopped is true when a graceful shutdown is complete.
	Stopped bool

	// Admission and claims.

	Starts   []carobstart.Start
	Refusals []carobrefusal.Refusal
	// AppendRequests are batches of claims to append to the log. The result of each comes back in
	// the inbox.
	AppendRequests []carobappendrequest.AppendRequest
	// Subscriptions are the log streams to start or stop reading.
	Subscriptions []carobsubscription.Subscription
	// HealthChecks are health checks of the node's own targets.
	HealthChecks []carobhealthcheck.HealthCheck
	// Reports are the target loads to attach to answers and refusals from now on.
	Reports []carobreport.Report
	// RemovedTargets are the node's own targets that have left and have no jobs any more.
	RemovedTargets []carobtargetid.ID

	// Entry and routing.

	Sends []carobsend.Send
	// Cancels are attempts whose reply is no longer needed.
	Cancels     []carobjobid.ID
	Conclusions []carobconclusion.Conclusion

	// Quotas. All are zero if no organisation has one.

	// QuotaNodes is the number of nodes that the quotas are divided by.
	QuotaNodes int
	// QuotaLeases is the number of nodes that lend their share to this one, and Allocating is
	// true while this node chooses itself as the allocator.
	QuotaLeases int
	Allocating  bool
	// QuotaTokens is the number of tokens that this node granted, as an allocator.
	QuotaTokens int

	// Audit trail, decisions and traces.

	Audits    []carobaudit.Audit
	Decisions []carobdecision.Decision
	Hops      []carobhop.Hop
}
