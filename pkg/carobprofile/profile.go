// Package carobprofile holds routing profiles, which operators publish and services
// select by name.
package carobprofile

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobspan"
	"github.com/carobknot/carobknot/pkg/carobword"
)

// Profile holds the routing rules for the calls of the services that select it.
type Profile struct {
	// Name is the name by which services select the profile.
	Name carobword.Word `json:"name"`
	// Base is the revision that this change replaces, or None for a new
	// profile. The change has no effect if another revision is in force.
	Base caroboffset.Offset `json:"base"`
	// Policy is the name of the policy that chooses a target.
	Policy carobword.Word `json:"policy"`
	// Spread is the size of the subset of a service's targets that each entry node
	// uses, at least 1.
	Spread int `json:"spread"`
	// Deadline is the time until the deadline of a call whose caller sets none.
	Deadline carobspan.Duration `json:"deadline"`
	// Tries is the number of attempts of a call before it waits for a free slot, at
	// least 1.
	Tries int `json:"tries"`
	// Hedge is the quantile of latency after which a call that may run more than
	// once gets a second, concurrent attempt; 0 disables hedging.
	Hedge carobshare.Share `json:"hedge"`
	// Queue is the maximum number of calls queued for each target, at least 0.
	Queue int `json:"queue"`
	// Once is the limit on how often a call may run.
	Once carobonce.Guarantee `json:"once"`
	// Measure is the age of a load report at which the target is probed again; 0
	// disables it.
	Measure carobspan.Duration `json:"measure"`
	// Eject is how far the error rate of a target must exceed that of the other
	// targets for it to be ejected for a while; 0 disables ejection.
	Eject carobshare.Share `json:"eject"`
	// Near is a load, as a share of a target's slots. Calls stay in the entry node's
	// data centre while one of its targets is loaded below Near, and may go to any
	// data centre otherwise; 0 disables the preference.
	Near carobshare.Share `json:"near"`
	// Keep is the maximum size of a body that is buffered for another attempt.
	Keep carobsize.Size `json:"keep"`
	// Refuse is true if a response with status 503 from a target means that the
	// call did not run.
	Refuse bool `json:"refuse"`
}

// Upper bounds of the fields.
const (
	MaxSpread   = 64
	MaxTries    = 10
	MaxQueue    = 10_000
	MaxKeep     = 16 * carobsize.MiB
	MaxDeadline = carobspan.Duration(time.Hour)
	MaxMeasure  = carobspan.Duration(time.Minute)
)

// NewProfile returns a profile with the default rules.
func NewProfile(name carobword.Word) Profile {
	return Profile{
		Name:     name,
		Base:     caroboffset.BeforeFirst,
		Policy:   "expected",
		Spread:   16,
		Deadline: carobspan.Duration(10 * time.Second),
		Tries:    3,
		Hedge:    0.95,
		Queue:    24,
		Once:     carobonce.OncePerCall,
		Measure:  carobspan.Duration(100 * time.Millisecond),
		Eject:    0.5,
		Near:     0.8,
		Keep:     64 * carobsize.KiB,
	}
}

// UnmarshalJSON decodes a profile; absent fields get their defaults. It returns an
// Invalid error if the text cannot be decoded or a field is out of bounds.
func (p *Profile) UnmarshalJSON(text []byte) error {
	type fields Profile
	decoded := fields(NewProfile(""))
	if err := json.Unmarshal(text, &decoded); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode profile")
	}
	if err := Profile(decoded).Check(); err != nil {
		return err
	}
	*p = Profile(decoded)
	return nil
}

// Check returns an Invalid error that names the first field out of bounds.
func (p Profile) Check() error {
	if err := p.Name.Check("name"); err != nil {
		return err
	}
	if err := p.Policy.Check("policy"); err != nil {
		return err
	}
	switch {
	case p.Base < caroboffset.BeforeFirst:
		return carobkind.New(carobkind.Invalid, "base: %d is not between %d and the newest revision", p.Base, caroboffset.BeforeFirst)
	case p.Deadline <= 0 || p.Deadline > MaxDeadline:
		return carobkind.New(carobkind.Invalid, "deadline: %s must be longer than 0s and at most %s", p.Deadline, MaxDeadline)
	case p.Measure > MaxMeasure:
		return carobkind.New(carobkind.Invalid, "measure: %s is more than %s", p.Measure, MaxMeasure)
	case p.Keep < 0 || p.Keep > MaxKeep:
		return carobkind.New(carobkind.Invalid, "keep: %s is not between 0 B and %s", p.Keep, MaxKeep)
	}
	return p.checkCounts()
}

// checkCounts checks the fields that are numbers of things.
func (p Profile) checkCounts() error {
	for _, field := range []struct {
		key         string
		value       int
		least, most int
	}{
		{"spread", p.Spread, 1, MaxSpread},
		{"tries", p.Tries, 1, MaxTries},
		{"queue", p.Queue, 0, MaxQueue},
	} {
		if field.value < field.least || field.value > field.most {
			return carobkind.New(carobkind.Invalid, "%s: %d is not between %d and %d", field.key, field.value, field.least, field.most)
		}
	}
	return nil
}
