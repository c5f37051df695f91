// Package carobfetch asks another node for profile records.
package carobfetch

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
)

// Fetch asks for the records that the sender misses.
type Fetch struct {
	// From is the first offset that is missing.
	From caroboffset.Offset `json:"from"`
}

// Check tells whether the offset can be one.
func (f Fetch) Check() error {
	if f.From < 0 {
		return carobkind.New(carobkind.Invalid, "fetch: from %d", f.From)
	}
	return nil
}
