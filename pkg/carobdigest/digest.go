// Package carobdigest holds the message by which two nodes compare a partition of their
// peer tables.
package carobdigest

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
)

// Digest lists the version of each description that the sender has of a partition. The
// receiver sends the descriptions that the sender lacks, and requests those that it lacks
// itself.
type Digest struct {
	// Partition is the index of the partition, from 0.
	Partition int `json:"part"`
	// Versions are the versions of the sender's descriptions, at most one for each node.
	Versions []carobmemberversion.Version `json:"rows,omitempty"`
	// Requested are the nodes whose newest description the sender requests. If there are any,
	// the digest lists no versions.
	Requested []carobnodeid.ID `json:"wanted,omitempty"`
}

// maxRows is the maximum number of rows, and of requested nodes, of one digest.
const maxRows = 4096

// Check returns an error of kind Invalid if the digest is out of bounds.
func (d Digest) Check() error {
	if d.Partition < 0 || d.Partition >= carobpeerheartbeat.Partitions || len(d.Versions) > maxRows || len(d.Requested) > maxRows {
		return carobkind.New(carobkind.Invalid, "digest: partition %d with %d rows is out of bounds", d.Partition, len(d.Versions))
	}
	for _, vs := range d.Versions {
		if err := vs.Check(); err != nil {
			return err
		}
	}
	for _, id := range d.Requested {
		if err := id.Check(); err != nil {
			return err
		}
	}
	return nil
}
