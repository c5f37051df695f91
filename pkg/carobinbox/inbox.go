// Package carobinbox holds the input of a tick.
package carobinbox

import (
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobrouterejection"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobstreambounds"
)

// Inbox has one queue for each kind of input from the traffic goroutines. Systems read the
// queues that concern them. A later system, or a later entry of a queue, sees the table
// changes made by the earlier ones.
type Inbox struct {
	// Messages are control messages from other nodes.
	Messages []carobmessage.Message

	// Membership, targets and the log.

	Announcements []carobannouncement.Announcement
	Records       []carobrecord.Record
	// StreamBounds are the bounds of the log streams that Records were read from.
	StreamBounds []carobstreambounds.StreamBounds
	// RouteTables are the route tables read from the store.
	RouteTables []*carobroutetable.RouteTable
	// RouteRejections has a value for each change of the table that the store has and that
	// cannot be read; nil once there is none.
	RouteRejections []*carobrouterejection.RouteRejection
	// StoreReads are the instants at which successful reads of the store began. What they
	// found is in RouteTables.
	StoreReads []carobinstant.Instant
	// EvacuationLists are what successful reads of the store found about evacuations, the newest
	// last.
	EvacuationLists []carobevacuationlist.EvacuationList
	// StoreUnreadable has a value for each change of whether the store can be read, true if it
	// cannot, the newest last.
	StoreUnreadable []bool
	// StoreEras are the eras that responses of the store to this node have named. Each is higher
	// than the one before from the same goroutine.
	StoreEras []carobstoreera.Era
	// Stop requests a graceful shutdown of the node.
	Stop bool
	// ShutdownDeadline is the deadline of the shutdown, in the tick in which it becomes
	// known; Never otherwise.
	ShutdownDeadline carobinstant.Instant
	// Exit requests a final response for all calls in flight, because the node exits now.
	Exit bool

	// Admission and claims.

	Offers   []caroboffer.Offer
	Finishes []carobfinish.Finish
	// CheckResults are the results of health checks.
	CheckResults []carobcheckresult.CheckResult
	// AppendResults has the results of appending claims to the log.
	AppendResults []carobappendresult.AppendResult

	// Entry and routing.

	Arrivals       []carobarrival.Arrival
	AttemptReplies []carobattemptreply.AttemptReply
	Deliveries     []carobdelivery.Delivery
	// Disconnects are the calls whose callers have disconnected.
	Disconnects []carobcallid.ID
}
