// Package carobgossip holds the message that carries descriptions of nodes.
package carobgossip

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

// Gossip carries some of the descriptions that the sender has: pending changes, or those
// that the receiver requested.
type Gossip struct {
	// Members are descriptions of different nodes.
	Members []carobmember.Member `json:"members"`
	// Requested is true if the receiver lacked these descriptions and other nodes have them,
	// so that they are not gossiped further.
	Requested bool `json:"asked,omitempty"`
}

// MaxMembers is the maximum number of members in one message.
const MaxMembers = 64

// Check returns an error of kind Invalid if the message or a member is out of bounds.
func (g Gossip) Check() error {
	if len(g.Members) > MaxMembers {
		return carobkind.New(carobkind.Invalid, "gossip: more than %d members", MaxMembers)
	}
	for i := range g.Members {
		if err := g.Members[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
