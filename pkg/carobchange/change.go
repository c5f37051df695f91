// Package carobchange holds changes of profiles as they stand in the log.
package carobchange

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
)

// Change is one change of a profile. Its place in the log is the revision that
// it makes, if it wins.
type Change struct {
	// ID tells the change apart from all others, so that its publisher finds it
	// in the log though the answer to the append was lost. A change that was
	// appended twice has one ID; its base lets at most one of the two win.
	ID      string               `json:"id,omitempty"`
	Profile carobprofile.Profile `json:"profile"`
	// Who published the change.
	Who string `json:"who"`
	// When it was published, on the operator's clock. It decides nothing.
	When time.Time `json:"when"`
}

// longest is the most bytes of ID and Who.
const longest = 256

// UnmarshalJSON decodes a change and checks it.
func (c *Change) UnmarshalJSON(text []byte) error {
	type plain Change
	var ch plain
	if err := json.Unmarshal(text, &ch); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode change")
	}
	if err := Change(ch).Check(); err != nil {
		return err
	}
	*c = Change(ch)
	return nil
}

// Check tells whether all fields are within their bounds.
func (c Change) Check() error {
	if len(c.ID) > longest || len(c.Who) > longest {
		return carobkind.New(carobkind.Invalid, "change: id or who has more than %d bytes", longest)
	}
	return c.Profile.Check()
}
