// Package carobmessage holds the control messages between nodes. All are sent
// one way; what needs an answer gets it as another message, or not at all.
package carobmessage

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobdigest"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfetch"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpoll"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutes"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobsupply"
)

// Message is one control message. Of the pointers at most one is set, which
// says what kind of message it is.
type Message struct {
	// To is where the message goes. It does not travel.
	To carobaddress.Address `json:"-"`
	// From, Incarnation and Back are the sender and where it takes answers.
	From        carobnodeid.ID               `json:"from"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Back        carobaddress.Address         `json:"back"`

	// RoutesVersion is that of the sender's route table. A message without content
	// tells just that.
	RoutesVersion carobrouteversion.Version `json:"routesversion,omitempty"`

	// Membership and profiles.

	// Gossip tells who is there.
	Gossip *carobgossip.Gossip `json:"gossip,omitempty"`
	// Probe asks whether a node is there, or answers.
	Probe *carobprobe.Probe `json:"probe,omitempty"`
	// Digest says what the sender knows of a part of the nodes, in short.
	Digest *carobdigest.Digest `json:"digest,omitempty"`
	// Fetch asks for profile records, and Supply gives them.
	Fetch  *carobfetch.Fetch   `json:"fetch,omitempty"`
	Supply *carobsupply.Supply `json:"supply,omitempty"`

	// RouteFetch asks for the route table, and Routes gives it.
	RouteFetch *carobroutefetch.Fetch `json:"routefetch,omitempty"`
	Routes     *carobroutes.Routes    `json:"routes,omitempty"`

	// Calls and claims.

	// Fence asks what became of a job.
	Fence *carobfence.Fence `json:"fence,omitempty"`
	// FenceReply answers a fence.
	FenceReply *carobfencereply.FenceReply `json:"fencereply,omitempty"`
	// Claim asks the home of a key for it; ClaimReply answers.
	Claim      *carobclaim.Claim      `json:"claim,omitempty"`
	ClaimReply *carobclaimreply.Reply `json:"claimreply,omitempty"`
	// Settlement tells the home how a call ended; Settled confirms it.
	Settlement *carobsettlement.Settlement `json:"settlement,omitempty"`
	Settled    *carobcallid.ID             `json:"settled,omitempty"`

	// Measuring.

	// Poll asks for the load of a target.
	Poll *carobpoll.Poll `json:"poll,omitempty"`
	// Report answers a poll.
	Report *carobreport.Report `json:"report,omitempty"`
}
