// Package carobprobe holds the messages by which nodes find out whether others
// are there.
package carobprobe

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// Probe asks a node whether it is there, or answers that. A node that gets no
// answer asks others to probe in its place: the answer comes back their way.
type Probe struct {
	// Number tells the probes of a node apart.
	Number uint64 `json:"number"`
	// Node is the one that is probed. Another node at its address does not answer.
	// Empty is whoever is at the address.
	Node carobnodeid.ID `json:"node,omitempty"`
	// Answer says that this answers a probe.
	Answer bool `json:"answer,omitempty"`
	// Goal asks the receiver to probe Node at that address. May be empty.
	Goal carobaddress.Address `json:"goal,omitempty"`
	// Origin is who asked the sender to probe Node. May be empty.
	Origin carobaddress.Address `json:"origin,omitempty"`
	// Sums has a checksum of each part of the sender's table of nodes.
	Sums []uint64 `json:"sums,omitempty"`
	// Read is how far the sender has read the stream of profiles.
	Read caroboffset.Offset `json:"read"`
}

// Parts is the number of parts of the table of nodes.
const Parts = 16

// Check tells whether the probe is within its bounds.
func (p Probe) Check() error {
	if len(p.Sums) != 0 && len(p.Sums) != Parts {
		return carobkind.New(carobkind.Invalid, "probe: %d sums", len(p.Sums))
	}
	if p.Node != "" {
		if err := p.Node.Check(); err != nil {
			return err
		}
	}
	for _, ad := range []carobaddress.Address{p.Goal, p.Origin} {
		if ad == "" {
			continue
		}
		if err := ad.Check(); err != nil {
			return err
		}
	}
	return nil
}
