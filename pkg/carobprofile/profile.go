// Package carobprofile holds routing profiles: what operators publish and
// services pick.
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

// Profile says how calls of the services that pick it are routed.
type Profile struct {
	// Name is how services pick the profile.
	Name carobword.Word `json:"name"`
	// Base is the revision that the change was made from.
	Base caroboffset.Offset `json:"base"`
	// Policy names the rule that picks a target.
	Policy carobword.Word `json:"policy"`
	// Spread is how many targets of a service a node keeps in view, at least 1.
	Spread int `json:"spread"`
	// Deadline is the time that a call has if its caller names none.
	Deadline carobspan.Span `json:"deadline"`
	// Tries is how many attempts a call has before it waits for room, at least 1.
	Tries int `json:"tries"`
	// Hedge is the quantile of latency after which a call that may run more than
	// once is tried a second time; 0 is never.
	Hedge carobshare.Share `json:"hedge"`
	// Queue is how many calls may wait before each target, at least 0.
	Queue int `json:"queue"`
	// Once says how often a call may run.
	Once carobonce.Once `json:"once"`
	// Measure is the age at which a report of load is asked for anew; 0 is never.
	Measure carobspan.Span `json:"measure"`
	// Eject is the error rate above that of the other targets at which a target
	// gets no more calls for a while; 0 is never.
	Eject carobshare.Share `json:"eject"`
	// Near is the load of the own data centre's targets above which calls go to
	// other data centres.
	Near carobshare.Share `json:"near"`
	// Keep is the longest body that is kept for another attempt.
	Keep carobsize.Size `json:"keep"`
	// Refuse says that a target's 503 proves that the call did not run.
	Refuse bool `json:"refuse"`
}

// Bounds of the fields.
const (
	MaxSpread   = 64
	MaxTries    = 10
	MaxQueue    = 10_000
	MaxKeep     = 16 * carobsize.MiB
	MaxDeadline = carobspan.Span(time.Hour)
	MaxMeasure  = carobspan.Span(time.Minute)
)

// NewProfile returns a profile with the defaults.
func NewProfile(name carobword.Word) Profile {
	return Profile{
		Name:     name,
		Base:     caroboffset.None,
		Policy:   "expected",
		Spread:   16,
		Deadline: carobspan.Span(10 * time.Second),
		Tries:    3,
		Hedge:    0.95,
		Queue:    24,
		Once:     carobonce.Call,
		Measure:  carobspan.Span(100 * time.Millisecond),
		Eject:    0.5,
		Near:     0.8,
		Keep:     64 * carobsize.KiB,
	}
}

// UnmarshalJSON decodes a profile over the defaults and checks it.
func (p *Profile) UnmarshalJSON(text []byte) error {
	type plain Profile
	pr := plain(NewProfile(""))
	if err := json.Unmarshal(text, &pr); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode profile")
	}
	if err := Profile(pr).Check(); err != nil {
		return err
	}
	*p = Profile(pr)
	return nil
}

// Check tells whether all fields are within their bounds.
func (p Profile) Check() error {
	if err := p.Name.Check("name"); err != nil {
		return err
	}
	if err := p.Policy.Check("policy"); err != nil {
		return err
	}
	switch {
	case p.Base < caroboffset.None:
		return carobkind.New(carobkind.Invalid, "base: %d is not between %d and the newest revision", p.Base, caroboffset.None)
	case p.Deadline <= 0 || p.Deadline > MaxDeadline:
		return carobkind.New(carobkind.Invalid, "deadline: %s is not longer than 0s and at most %s", p.Deadline, MaxDeadline)
	case p.Measure > MaxMeasure:
		return carobkind.New(carobkind.Invalid, "measure: %s is more than %s", p.Measure, MaxMeasure)
	case p.Keep < 0 || p.Keep > MaxKeep:
		return carobkind.New(carobkind.Invalid, "keep: %s is not between 0 B and %s", p.Keep, MaxKeep)
	}
	return p.checkCounts()
}

func (p Profile) checkCounts() error {
	for _, f := range []struct {
		key         string
		value       int
		least, most int
	}{
		{"spread", p.Spread, 1, MaxSpread},
		{"tries", p.Tries, 1, MaxTries},
		{"queue", p.Queue, 0, MaxQueue},
	} {
		if f.value < f.least || f.value > f.most {
			return carobkind.New(carobkind.Invalid, "%s: %d is not between %d and %d", f.key, f.value, f.least, f.most)
		}
	}
	return nil
}
