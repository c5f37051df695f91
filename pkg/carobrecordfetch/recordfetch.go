// Package carobrecordfetch holds the message that requests profile records from another node.
package carobrecordfetch

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// RecordFetch requests the profile records that the sender lacks.
type RecordFetch struct {
	// From is the first offset that the sender lacks.
	From caroboffset.Offset `json:"from"`
}

// Check returns an error of kind Invalid if the offset is negative.
func (f RecordFetch) Check() error {
	if f.From < 0 {
		return carobkind.New(carobkind.Invalid, "record fetch: offset %d is negative", f.From)
	}
	return nil
}
