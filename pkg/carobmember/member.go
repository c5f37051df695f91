// Package carobmember holds the descriptions of nodes that are exchanged by gossip.
package carobmember

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobregion"
	"github.com/carobknot/carobknot/pkg/carobtarget"
)

// Member is a node's description of itself, and its liveness state. Other nodes may change
// the liveness state, and forward the rest unchanged.
type Member struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	Region      carobregion.Region           `json:"region"`
	Centre      carobcentre.Centre           `json:"centre"`
	// PeerAddress is the address at which other nodes reach the node.
	PeerAddress carobaddress.Address `json:"peer"`
	// Sequence is the update sequence: the node increases it with every change. Within an
	// incarnation the higher one is newer.
	Sequence uint64 `json:"beat"`
	// Liveness is the liveness state that other nodes assign to the node.
	Liveness carobliveness.Liveness `json:"standing,omitempty"`
	// Leaving is true if the node is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// StoreUnreadable is true if the node cannot read the operator's records from the store.
	StoreUnreadable bool `json:"blind,omitempty"`
	// Capacity is the processor capacity of the node. It is set only while an organisation has a
	// quota.
	Capacity carobcapacity.Capacity `json:"capacity,omitempty"`
	// Allocates is true if the node allocates the tokens of quotas.
	Allocates bool `json:"allocates,omitempty"`
	// Targets are the targets on the node's VM.
	Targets []carobtarget.Target `json:"targets,omitempty"`
}

// MaxTargets is the maximum number of targets on one VM.
const MaxTargets = 64

// Version returns the version of the description.
func (m Member) Version() carobmemberversion.Version {
	return carobmemberversion.Version{Node: m.Node, Incarnation: m.Incarnation, Sequence: m.Sequence, Liveness: m.Liveness}
}

// Newer reports whether m is a newer description of the same node than o.
func (m Member) Newer(o Member) bool {
	return m.Version().Newer(o.Version())
}

// EncodedSize returns the approximate size of the description in a message, in bytes.
func (m Member) EncodedSize() int {
	const fixed, each = 140, 130
	return fixed + each*len(m.Targets)
}

// Check returns an error of kind Invalid if a field is out of bounds.
func (m Member) Check() error {
	if err := m.Version().Check(); err != nil {
		return err
	}
	if err := carobname.Name(m.Region).Check("region"); err != nil {
		return err
	}
	if err := carobname.Name(m.Centre).Check("centre"); err != nil {
		return err
	}
	if err := m.PeerAddress.Check(); err != nil {
		return err
	}
	if err := m.Capacity.Check(); err != nil {
		return err
	}
	if len(m.Targets) > MaxTargets {
		return carobkind.New(carobkind.Invalid, "member: more than %d targets", MaxTargets)
	}
	for i := range m.Targets {
		if err := checkTarget(&m.Targets[i]); err != nil {
			return err
		}
	}
	return nil
}

func checkTarget(target *carobtarget.Target) error {
	if err := target.ID.Service.Check(); err != nil {
		return err
	}
	if err := target.ID.Name.Check("target"); err != nil {
		return err
	}
	if err := target.Profile.Check("profile"); err != nil {
		return err
	}
	if min(target.Slots, target.Connections) < 1 || max(target.Slots, target.Connections) > carobtarget.MaxSlots {
		return carobkind.New(carobkind.Invalid, "target %s: slots and conns must be between 1 and %d", target.ID, carobtarget.MaxSlots)
	}
	return target.Readiness.Check()
}
