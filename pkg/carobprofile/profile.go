// Package carobprofile holds routing profiles, which operators publish and services
// select by name.
package carobprofile

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobshare"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Profile holds the routing rules for the calls of the services that select it.
type Profile struct {
	// Name is the name by which services select the profile.
	Name carobname.Name `json:"name"`
	// Base is the revision that this profile replaces, or BeforeFirst for a new
	// profile. The change has no effect if another revision is in force.
	Base caroboffset.Offset `json:"base"`
	// Policy is the name of the policy that chooses a target.
	Policy carobname.Name `json:"policy"`
	// SubsetSize is the size of the subset of a service's targets that each entry node
	// uses, at least 1.
	SubsetSize int `json:"spread"`
	// Deadline is the time until the deadline of a call whose caller sets none.
	Deadline carobduration.Duration `json:"deadline"`
	// Attempts is the number of attempts of a call before it waits for a free slot, at
	// least 1.
	Attempts int `json:"tries"`
	// HedgeQuantile is the quantile of latency after which a call that may run more
	// than once gets a second, concurrent attempt; 0 disables hedging.
	HedgeQuantile carobshare.Share `json:"hedge"`
	// QueueLimit is the maximum number of calls queued for each target, at least 0.
	QueueLimit int `json:"queue"`
	// Guarantee is the limit on how often a call may run.
	Guarantee carobguarantee.Guarantee `json:"once"`
	// ReportAgeLimit is the age of a load report at which the target is probed again;
	// 0 disables probes.
	ReportAgeLimit carobduration.Duration `json:"measure"`
	// EjectErrorRate is how far the error rate of a target must exceed that of the
	// other targets for it to be ejected for a while; 0 disables ejection.
	EjectErrorRate carobshare.Share `json:"eject"`
	// LocalLoadLimit is a load, as a share of a target's slots. Calls stay in the
	// entry node's data centre while one of its targets is loaded below
	// LocalLoadLimit, and may go to any data centre otherwise; 0 disables the
	// preference.
	LocalLoadLimit carobshare.Share `json:"near"`
	// BufferedBodyLimit is the maximum size of a body that is buffered for another
	// attempt.
	BufferedBodyLimit carobsize.Size `json:"keep"`
	// NotRunOn503 is true if a response with status 503 from a target means that the
	// call did not run.
	NotRunOn503 bool `json:"refuse"`
}

// Upper bounds of the fields.
const (
	MaxSubsetSize        = 64
	MaxAttempts          = 10
	MaxQueueLimit        = 10_000
	MaxBufferedBodyLimit = 16 * carobsize.MiB
	MaxDeadline          = carobduration.Duration(time.Hour)
	MaxReportAgeLimit    = carobduration.Duration(time.Minute)
)

// NewProfile returns a profile with the default rules.
func NewProfile(name carobname.Name) Profile {
	return Profile{
		Name:              name,
		Base:              caroboffset.BeforeFirst,
		Policy:            "expected",
		SubsetSize:        16,
		Deadline:          carobduration.Duration(10 * time.Second),
		Attempts:          3,
		HedgeQuantile:     0.95,
		QueueLimit:        24,
		Guarantee:         carobguarantee.OncePerCall,
		ReportAgeLimit:    carobduration.Duration(100 * time.Millisecond),
		EjectErrorRate:    0.5,
		LocalLoadLimit:    0.8,
		BufferedBodyLimit: 64 * carobsize.KiB,
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
	case p.ReportAgeLimit > MaxReportAgeLimit:
		return carobkind.New(carobkind.Invalid, "measure: %s is more than %s", p.ReportAgeLimit, MaxReportAgeLimit)
	case p.BufferedBodyLimit < 0 || p.BufferedBodyLimit > MaxBufferedBodyLimit:
		return carobkind.New(carobkind.Invalid, "keep: %s is not between 0 B and %s", p.BufferedBodyLimit, MaxBufferedBodyLimit)
	}
	return p.checkCounts()
}

// checkCounts returns an Invalid error that names the first integer field out of
// bounds.
func (p Profile) checkCounts() error {
	for _, field := range []struct {
		key             string
		value           int
		lowest, highest int
	}{
		{"spread", p.SubsetSize, 1, MaxSubsetSize},
		{"tries", p.Attempts, 1, MaxAttempts},
		{"queue", p.QueueLimit, 0, MaxQueueLimit},
	} {
		if field.value < field.lowest || field.value > field.highest {
			return carobkind.New(carobkind.Invalid, "%s: %d is not between %d and %d", field.key, field.value, field.lowest, field.highest)
		}
	}
	return nil
}
