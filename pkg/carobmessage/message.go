// Package carobmessage holds the control messages between nodes. All are one-way; an
// answer, where there is one, is a message of its own.
package carobmessage

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobconfirmation"
	"github.com/carobknot/carobknot/pkg/carobdigest"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobloadprobe"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobquotareply"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobrecordfetch"
	"github.com/carobknot/carobknot/pkg/carobrecordfetchreply"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
)

// Message is one control message. At most one of the pointers is set, which makes it the
// content.
type Message struct {
	// To is the address that the message is sent to. It is not part of the encoded
	// message.
	To carobaddress.Address `json:"-"`
	// From and Incarnation identify the sender, and ReplyTo is the address for answers.
	From        carobnodeid.ID               `json:"from"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	ReplyTo     carobaddress.Address         `json:"back"`

	// RoutesVersion is the version of the sender's route table. A message without content
	// only announces this version.
	RoutesVersion carobrouteversion.Version `json:"routesversion,omitempty"`

	// Clock is the reading of the sender's clock when the message was sent; Never if the message
	// has none. It has no meaning for the receiver but to convert instants (carobclockbound).
	Clock carobinstant.Instant `json:"clock,omitempty"`

	// ClockRequest requests a message in return, for the reading of the receiver's clock. Its name
	// on the wire is sync.
	ClockRequest bool `json:"sync,omitempty"`

	// Confirmation is an instant at which the store had no newer route table than RoutesVersion;
	// nil if the sender knows none, or cannot convert it to the receiver's clock.
	Confirmation *carobconfirmation.Confirmation `json:"confirmed,omitempty"`

	// StoreEra is the newest era of the store that the sender knows; None if none is known. Not
	// all messages name it.
	StoreEra carobstoreera.Era `json:"era,omitempty"`

	// Evacuations are the states of data centres that are evacuated or have changed recently. At
	// most one is of the same data centre.
	Evacuations []carobevacuation.Evacuation `json:"evacuate,omitempty"`

	// Membership and profiles.

	// Gossip carries descriptions of nodes.
	Gossip *carobgossip.Gossip `json:"gossip,omitempty"`
	// Heartbeat is a heartbeat or the answer to one. Its name on the wire is probe.
	Heartbeat *carobpeerheartbeat.PeerHeartbeat `json:"probe,omitempty"`
	// Digest lists the versions of the descriptions in one partition of the sender's peer table.
	Digest *carobdigest.Digest `json:"digest,omitempty"`
	// RecordFetch requests profile records, and RecordFetchReply carries them.
	RecordFetch      *carobrecordfetch.RecordFetch           `json:"fetch,omitempty"`
	RecordFetchReply *carobrecordfetchreply.RecordFetchReply `json:"supply,omitempty"`

	// RouteFetch requests the route table, and RouteTable carries it.
	RouteFetch *carobroutefetch.RouteFetch `json:"routefetch,omitempty"`
	RouteTable *carobroutetable.RouteTable `json:"routes,omitempty"`

	// Calls and claims.

	// Fence makes sure that an attempt never runs, or queries how its job ended.
	Fence *carobfence.Fence `json:"fence,omitempty"`
	// FenceReply answers a fence.
	FenceReply *carobfencereply.FenceReply `json:"fencereply,omitempty"`
	// Claim requests an idempotency key from its home, and ClaimReply answers.
	Claim      *carobclaim.Claim           `json:"claim,omitempty"`
	ClaimReply *carobclaimreply.ClaimReply `json:"claimreply,omitempty"`
	// Settlement reports to the home of a key how a call ended, and Settled confirms it.
	Settlement *carobsettlement.Settlement `json:"settlement,omitempty"`
	Settled    *carobcallid.ID             `json:"settled,omitempty"`

	// Quotas.

	// QuotaRequest requests tokens from an allocator, and QuotaReply answers.
	QuotaRequest *carobquotarequest.QuotaRequest `json:"quota,omitempty"`
	QuotaReply   *carobquotareply.QuotaReply     `json:"quotareply,omitempty"`

	// Load probes.

	// LoadProbe requests the load of a target. Its name on the wire is poll.
	LoadProbe *carobloadprobe.LoadProbe `json:"poll,omitempty"`
	// Report answers a load probe.
	Report *carobreport.Report `json:"report,omitempty"`
}
