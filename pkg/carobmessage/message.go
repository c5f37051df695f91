// Package carobmessage holds the control messages between nodes. All are sent
// one way; what needs an answer gets it as another message, or not at all.
package carobmessage

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobverdict"
)

// Message is one control message. Of the pointers exactly one is set, which
// says what kind of message it is.
type Message struct {
	// To is where the message goes. It does not travel.
	To carobaddress.Address `json:"-"`
	// From, Incarnation and Back are the sender and where it takes answers.
	From        carobnodeid.ID               `json:"from"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Back        carobaddress.Address         `json:"back"`

	// Membership and profiles.

	// Gossip tells who is there.
	Gossip *carobgossip.Gossip `json:"gossip,omitempty"`

	// Calls and claims.

	// Fence asks what became of a job.
	Fence *carobfence.Fence `json:"fence,omitempty"`
	// Verdict answers a fence.
	Verdict *carobverdict.Verdict `json:"verdict,omitempty"`

	// Measuring.
}
