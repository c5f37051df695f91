// Package carobannouncement holds what a target tells the node on its VM.
package carobannouncement

import (
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Announcement is a target's word about itself, repeated as a heartbeat.
type Announcement struct {
	// Target comes from the path of the request.
	Target carobtargetid.ID `json:"-"`
	// Withdrawn says that the target is gone; the other fields then mean nothing.
	Withdrawn bool `json:"-"`
	// Address is where the target answers calls, as its node reaches it.
	Address carobaddress.Address `json:"address"`
	// Profile is the routing profile that the service picked.
	Profile carobword.Word `json:"profile"`
	// Slots is how many calls the target runs at once, at least 1.
	Slots int `json:"slots"`
	// Conns is how many connections the target accepts, at least 1.
	Conns int `json:"conns"`
	// Incarnation tells the lives of a target apart; the higher one is later. 0 is
	// a target that does not tell.
	Incarnation carobincarnation.Incarnation `json:"incarnation"`
	// Sequence grows with each announcement of a life; 0 is a target that does not
	// count.
	Sequence uint64 `json:"sequence"`
	// Cold is how much longer the target is slow after its start.
	Cold carobspan.Span `json:"cold"`
	// State says whether the target takes new work.
	State carobreadiness.Readiness `json:"state"`
}

// UnmarshalJSON decodes an announcement and checks it.
func (a *Announcement) UnmarshalJSON(text []byte) error {
	type plain Announcement
	an := plain{Slots: 1, Conns: 1, State: carobreadiness.Ready}
	if err := json.Unmarshal(text, &an); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode announcement")
	}
	if err := an.Address.Check(); err != nil {
		return err
	}
	if err := an.Profile.Check("profile"); err != nil {
		return err
	}
	if an.Slots < 1 || an.Conns < 1 {
		return carobkind.New(carobkind.Invalid, "slots and conns must be at least 1")
	}
	*a = Announcement(an)
	return nil
}
