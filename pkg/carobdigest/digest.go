// Package carobdigest holds in short what a node knows of a part of the nodes.
package carobdigest

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobversion"
)

// Digest is which word about each node the sender has. The receiver sends the
// words that the sender lacks, and asks for those that it lacks itself.
type Digest struct {
	// Part is the part of the table that Rows are of, below carobprobe.Parts.
	Part int `json:"part"`
	// Rows have different nodes.
	Rows []carobversion.Version `json:"rows,omitempty"`
	// Wanted are nodes of which the sender asks for the newest word. If there are
	// any, there are no Rows.
	Wanted []carobnodeid.ID `json:"wanted,omitempty"`
}

// most is the most rows of one digest.
const most = 4096

// Check tells whether the digest is within its bounds.
func (d Digest) Check() error {
	if d.Part < 0 || d.Part >= carobprobe.Parts || len(d.Rows) > most || len(d.Wanted) > most {
		return carobkind.New(carobkind.Invalid, "digest: part %d with %d rows", d.Part, len(d.Rows))
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
