// Package carobmemberversion holds the versions of the descriptions of nodes.
package carobmemberversion

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// Version identifies a description of a node, and orders the descriptions of the same
// node.
type Version struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	// Sequence is the update sequence, which the node increases with every change of its
	// description. Within an incarnation the higher one is newer.
	Sequence uint64 `json:"beat"`
	// Liveness is the liveness state that other nodes assign to the node. Within an update
	// sequence the higher one is newer.
	Liveness carobliveness.Liveness `json:"standing,omitempty"`
}

// Newer reports whether v is the version of a newer description of the same node than o.
func (v Version) Newer(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation > o.Incarnation
	}
	if v.Sequence != o.Sequence {
		return v.Sequence > o.Sequence
	}
	return v.Liveness > o.Liveness
}

// Checksum returns a checksum of the version.
func (v Version) Checksum() uint64 {
	sum := HashNode(v.Node)
	for _, n := range []uint64{uint64(v.Incarnation), v.Sequence, uint64(v.Liveness)} {
		sum = (sum ^ n) * fnvPrime
		sum ^= sum >> 32
	}
	return sum
}

// The parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// HashNode returns a hash of the node's ID. It is the same on all nodes.
func HashNode(node carobnodeid.ID) uint64 {
	sum := uint64(fnvOffset)
	for i := range len(node) {
		sum = (sum ^ uint64(node[i])) * fnvPrime
	}
	return sum ^ sum>>32
}

// Check returns an error of kind Invalid if the node's ID or the liveness state is not
// valid.
func (v Version) Check() error {
	if err := v.Node.Check(); err != nil {
		return err
	}
	return v.Liveness.Check()
}
