// Package carobmember holds what nodes tell each other about a node.
package carobmember

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobtarget"
)

// Member is a node as it describes itself. Others pass it on unchanged.
type Member struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Region      carobregion.Region           `json:"region"`
	Centre      carobcentre.Centre           `json:"centre"`
	// Peer is where other nodes reach the node.
	Peer carobaddress.Address `json:"peer"`
	// Beat grows with every change and every round; the higher one is newer
	// within an incarnation.
	Beat uint64 `json:"beat"`
	// Leaving says that the node is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Targets are the targets on the node's VM.
	Targets []carobtarget.Target `json:"targets,omitempty"`
}

// Newer reports whether m is a later word of the same node than o.
func (m Member) Newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Beat > o.Beat
}
