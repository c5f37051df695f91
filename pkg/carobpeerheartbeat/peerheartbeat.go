// Package carobpeerheartbeat holds the heartbeat message, by which nodes detect whether
// others are alive.
package carobpeerheartbeat

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// PeerHeartbeat is a heartbeat, or the answer to one. If a node does not answer, the sender
// requests other nodes to relay the heartbeat; the answer comes back the same way.
type PeerHeartbeat struct {
	// Number identifies the heartbeat among those of its first sender.
	Number uint64 `json:"number"`
	// Node is the node that the heartbeat is meant for; another node at the same address
	// does not answer. If it is empty, whichever node is at the address answers.
	Node carobnodeid.ID `json:"node,omitempty"`
	// Answer is true if this is an answer.
	Answer bool `json:"answer,omitempty"`
	// RelayTo is an address to which the receiver is requested to relay the heartbeat. It is
	// empty if the heartbeat is not to be relayed.
	RelayTo carobaddress.Address `json:"goal,omitempty"`
	// RelayFor is the address of the node that the sender relays for. It is empty if the
	// heartbeat is not relayed.
	RelayFor carobaddress.Address `json:"origin,omitempty"`
	// Checksums are the checksums of the partitions of the sender's peer table; empty if the
	// heartbeat carries none.
	Checksums []uint64 `json:"sums,omitempty"`
	// ProfilesRead is the offset up to which the sender has applied the stream of profiles.
	ProfilesRead caroboffset.Offset `json:"read"`
}

// Partitions is the number of partitions of the peer table.
const Partitions = 16

// Check returns an error of kind Invalid if a field is out of bounds.
func (p PeerHeartbeat) Check() error {
	if len(p.Checksums) != 0 && len(p.Checksums) != Partitions {
		return carobkind.New(carobkind.Invalid, "heartbeat: wrong number of checksums: %d", len(p.Checksums))
	}
	if p.Node != "" {
		if err := p.Node.Check(); err != nil {
			return err
		}
	}
	for _, ad := range []carobaddress.Address{p.RelayTo, p.RelayFor} {
		if ad == "" {
			continue
		}
		if err := ad.Check(); err != nil {
			return err
		}
	}
	return nil
}
