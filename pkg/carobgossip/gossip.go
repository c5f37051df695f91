// Package carobgossip holds what nodes tell each other about who is there.
package carobgossip

import (
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobrecord"
)

// Gossip is one half of an exchange: what the sender knows.
type Gossip struct {
	// Members are the nodes that the sender knows, itself among them.
	Members []carobmember.Member `json:"members"`
	// Records are profile records from the log, so that a change read by one
	// node reaches all though the log fails after.
	Records []carobrecord.Record `json:"records,omitempty"`
}
