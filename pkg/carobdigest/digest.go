// Package carobdigest holds the message by which two nodes compare a partition of their
// peer tables.
package carobdigest

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobversion"
)

// Digest lists the version of each description that the sender has of a partition. The
// receiver sends the descriptions that the sender lacks, and requests those that it lacks
// itself.
type Digest struct {
	// Part is the index of the partition, from 0.
	Part int `json:"part"`
	// Rows are the versions of the sender's descriptions, at most one for each node.
	Rows []carobversion.Version `json:"rows,omitempty"`
	// Wanted are the nodes whose newest description the sender requests. If there are any,
	// the digest lists no versions.
	Wanted []carobnodeid.ID `json:"wanted,omitempty"`
}

// maxRows is the maximum number of rows, and of requested nodes, of one digest.
const maxRows = 4096

// Check returns an error of kind Invalid if the digest is out of bounds.
func (d Digest) Check() error {
	if d.Part < 0 || d.Part >= carobprobe.Parts || len(d.Rows) > maxRows || len(d.Wanted) > maxRows {
		return carobkind.New(carobkind.Invalid, "digest: partition %d with %d rows is out of bounds", d.Part, len(d.Rows))
	}
	for _, vs := range d.Rows {
		if err := vs.Check(); err != nil {
			return err
		}
	}
	for _, id := range d.Wanted {
		if err := id.Check(); err != nil {
			return err
		}
	}
	return nil
}
