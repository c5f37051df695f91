// Package carobgossip holds what nodes tell each other about who is there.
package carobgossip

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

// Gossip is some of what the sender knows: the news, or what was asked for.
type Gossip struct {
	// Members have different nodes.
	Members []carobmember.Member `json:"members"`
	// Asked says that the receiver lacked these words and others do not: they are
	// no news.
	Asked bool `json:"asked,omitempty"`
}

// Most is the most members in one message.
const Most = 64

// Check tells whether the message is within its bounds.
func (g Gossip) Check() error {
	if len(g.Members) > Most {
		return carobkind.New(carobkind.Invalid, "gossip: more than %d members", Most)
	}
	for i := range g.Members {
		if err := g.Members[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
