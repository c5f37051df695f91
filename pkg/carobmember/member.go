// Package carobmember holds what nodes tell each other about a node.
package carobmember

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobversion"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Member is a node as it describes itself, and its standing. Others pass it on
// unchanged but for the standing.
type Member struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Region      carobregion.Region           `json:"region"`
	Centre      carobcentre.Centre           `json:"centre"`
	// Peer is where other nodes reach the node.
	Peer carobaddress.Address `json:"peer"`
	// Beat grows with every change; the higher one is newer within an incarnation.
	Beat uint64 `json:"beat"`
	// Standing is what others say of the node.
	Standing carobstanding.Standing `json:"standing,omitempty"`
	// Leaving says that the node is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Blind says that the node cannot read the operator's records.
	Blind bool `json:"blind,omitempty"`
	// Targets are the targets on the node's VM.
	Targets []carobtarget.Target `json:"targets,omitempty"`
}

// MostTargets is the most targets on one VM.
const MostTargets = 64

// Version tells the word apart from others about the node.
func (m Member) Version() carobversion.Version {
	return carobversion.Version{Node: m.Node, Incarnation: m.Incarnation, Beat: m.Beat, Standing: m.Standing}
}

// Newer reports whether m is a later word about the same node than o.
func (m Member) Newer(o Member) bool {
	return m.Version().Newer(o.Version())
}

// Weight returns about how many bytes the word takes in a message.
func (m Member) Weight() int {
	const fixed, each = 140, 130
	return fixed + each*len(m.Targets)
}

// Check tells whether all fields are within their bounds.
func (m Member) Check() error {
	if err := m.Version().Check(); err != nil {
		return err
	}
	if err := carobword.Word(m.Region).Check("region"); err != nil {
		return err
	}
	if err := carobword.Word(m.Centre).Check("centre"); err != nil {
		return err
	}
	if err := m.Peer.Check(); err != nil {
		return err
	}
	if len(m.Targets) > MostTargets {
		return carobkind.New(carobkind.Invalid, "member: more than %d targets", MostTargets)
	}
	for i := range m.Targets {
		if err := checkTarget(&m.Targets[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkTarget(tg *carobtarget.Target) error {
	if err := tg.ID.Service.Check(); err != nil {
		return err
	}
	if err := tg.ID.Name.Check("target"); err != nil {
		return err
	}
	if err := tg.Profile.Check("profile"); err != nil {
		return err
	}
	if tg.Slots < 1 || tg.Conns < 1 {
		return carobkind.New(carobkind.Invalid, "target %s: slots and conns must be at least 1", tg.ID)
	}
	return tg.State.Check()
}
