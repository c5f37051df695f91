// Package carobversion tells the words about a node apart.
package carobversion

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobstanding"
)

// Version is which word about a node one has.
type Version struct {
	Node        carobnodeid.ID               `json:"node"`
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	// Beat grows with every change that the node makes to its word; the higher
	// one is newer within an incarnation.
	Beat uint64 `json:"beat"`
	// Standing is what others say of the node; the higher one is newer within a
	// beat.
	Standing carobstanding.Standing `json:"standing,omitempty"`
}

// Newer reports whether v is a later word about the same node than o.
func (v Version) Newer(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation > o.Incarnation
	}
	if v.Beat != o.Beat {
		return v.Beat > o.Beat
	}
	return v.Standing > o.Standing
}

// Sum returns a checksum of the version.
func (v Version) Sum() uint64 {
	sum := Hash(v.Node)
	for _, n := range []uint64{uint64(v.Incarnation), v.Beat, uint64(v.Standing)} {
		sum = (sum ^ n) * prime
		sum ^= sum >> 32
	}
	return sum
}

// FNV-1a with 64 bits.
const (
	basis = 14695981039346656037
	prime = 1099511628211
)

// Hash returns a number that depends on the name alone.
func Hash(node carobnodeid.ID) uint64 {
	sum := uint64(basis)
	for i := range len(node) {
		sum = (sum ^ uint64(node[i])) * prime
	}
	return sum ^ sum>>32
}

// Check tells whether the version can be one.
func (v Version) Check() error {
	if err := v.Node.Check(); err != nil {
		return err
	}
	return v.Standing.Check()
}
