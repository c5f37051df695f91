// Package carobannouncement holds the message by which a target announces itself to the
// node on its VM.
package carobannouncement

import (
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Announcement is a target's description of itself, repeated as a heartbeat.
type Announcement struct {
	// Target is the announced target, from the path of the request.
	Target carobtargetid.ID `json:"-"`
	// Withdrawn states that the target has left. Of the other fields only Target and
	// Incarnation are then used.
	Withdrawn bool `json:"-"`
	// Confirmed is true if the target has just answered a health check, so that the
	// announcement is not an old one that was delayed.
	Confirmed bool `json:"-"`
	// Address is the address at which the node reaches the target.
	Address carobaddress.Address `json:"address"`
	// Profile is the routing profile that the service selected.
	Profile carobname.Name `json:"profile"`
	// Slots is the number of calls that the target runs at once, at least 1.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts, at least 1.
	Connections int `json:"conns"`
	// Incarnation identifies a start of the target; higher values are later starts. 0 if
	// the target does not report it.
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation; 0 if the target does not
	// number its announcements.
	Sequence uint64 `json:"sequence"`
	// WarmupLeft is the remaining warm-up time, during which the target is slower than usual.
	WarmupLeft carobduration.Duration `json:"cold"`
	// Readiness states whether the target accepts new work.
	Readiness carobreadiness.Readiness `json:"state"`
}

// UnmarshalJSON decodes and validates an announcement. Slots and Connections default to 1,
// Readiness to Ready. It returns an Invalid error for malformed fields.
func (a *Announcement) UnmarshalJSON(text []byte) error {
	type plain Announcement
	an := plain{Slots: 1, Connections: 1, Readiness: carobreadiness.Ready}
	if err := json.Unmarshal(text, &an); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode announcement")
	}
	if err := an.Address.Check(); err != nil {
		return err
	}
	if err := an.Profile.Check("profile"); err != nil {
		return err
	}
	if min(an.Slots, an.Connections) < 1 || max(an.Slots, an.Connections) > carobtarget.MaxSlots {
		return carobkind.New(carobkind.Invalid, "slots and conns must be between 1 and %d", carobtarget.MaxSlots)
	}
	*a = Announcement(an)
	return nil
}
