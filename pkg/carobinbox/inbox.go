// Package carobinbox holds the messages that a tick starts with.
package carobinbox

import (
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcommitted"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobhealth"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmark"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobroutes"
)

// Inbox has one queue for each kind of message from the traffic goroutines.
// Systems read the queues that concern them. A later system, or a later message
// in its queue, sees what the earlier ones did.
type Inbox struct {
	// Messages are from other nodes.
	Messages []carobmessage.Message

	// Membership, targets and the log.

	Announcements []carobannouncement.Announcement
	Records       []carobrecord.Record
	// Marks say how far the streams reach that Records are from.
	Marks []carobmark.Mark
	// Routes are the route tables that the store gave.
	Routes []*carobroutes.Routes
	// Blind says whether the store could be read, the newest last.
	Blind []bool
	// Stop asks the node to shut down gracefully.
	Stop bool
	// Ending is when the node ends at the latest, if that is known since this tick.
	Ending carobinstant.Instant
	// End gives the calls under way their last answer: the node ends now.
	End bool

	// Admission and claims.

	Offers   []caroboffer.Offer
	Finishes []carobfinish.Finish
	// Healths are what came of health checks.
	Healths []carobhealth.Health
	// Committed has how appends of claims went.
	Committed []carobcommitted.Committed

	// Entry and routing.

	Arrivals   []carobarrival.Arrival
	Replies    []carobreply.Reply
	Deliveries []carobdelivery.Delivery
	// Hangups are the calls whose callers are gone.
	Hangups []carobcallid.ID
}
