// Package carobchange holds the changes of profiles as the log stores them.
package carobchange

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobprofile"
)

// Change replaces a profile. If it comes into force, its offset in the log is the
// number of the new revision.
type Change struct {
	// ID is unique to the change, so that its publisher can find it in the log if
	// the response to the append was lost. Both copies of a change that was
	// appended twice have the same ID; because they have the same base, at most
	// one of them comes into force.
	ID      string               `json:"id,omitempty"`
	Profile carobprofile.Profile `json:"profile"`
	// Who identifies the operator who published the change.
	Who string `json:"who"`
	// When is the time of publication by the operator's clock. It is informational:
	// only offsets order changes.
	When time.Time `json:"when"`
}

// maxLength is the maximum length of ID and of Who, in bytes.
const maxLength = 256

// UnmarshalJSON decodes a change. It returns an Invalid error if the text cannot be
// decoded or a field is out of bounds.
func (c *Change) UnmarshalJSON(text []byte) error {
	type fields Change
	var decoded fields
	if err := json.Unmarshal(text, &decoded); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode change")
	}
	if err := Change(decoded).Check(); err != nil {
		return err
	}
	*c = Change(decoded)
	return nil
}

// Check returns an Invalid error if a field is out of bounds.
func (c Change) Check() error {
	if len(c.ID) > maxLength || len(c.Who) > maxLength {
		return carobkind.New(carobkind.Invalid, "change: id or who is longer than %d bytes", maxLength)
	}
	return c.Profile.Check()
}
