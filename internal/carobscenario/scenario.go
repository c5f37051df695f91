// Package carobscenario holds what the emulator plays: data centres, services with
// their targets, and the kinds of calls that callers make.
package carobscenario

import (
	"os"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobretrylimits"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshare"
)

// Scenario is a deployment and its load.
type Scenario struct {
	// Centres has at least one data centre.
	Centres []carobcentre.Centre `json:"centres"`
	// Hop is how long a message takes to another VM, and Far to one in another data
	// centre.
	Hop carobduration.Duration `json:"hop"`
	Far carobduration.Duration `json:"far"`
	// Noise is how the VMs' neighbours take their processors.
	Noise noise `json:"noise"`
	// Measure, Retries and Profile are what nodes go by.
	Measure carobprobelimits.ProbeLimits `json:"measure"`
	Retries carobretrylimits.RetryLimits `json:"retries"`
	Profile carobprofile.Profile         `json:"profile"`
	// Services has at least one.
	Services []service `json:"services"`
	// Kinds has at least one; a kind that others call comes before them.
	Kinds []kind `json:"kinds"`
}

// noise is when VMs are slow.
type noise struct {
	// Factor is how much longer work takes that starts in a slow moment; at most 1 is
	// no noise.
	Factor float64 `json:"factor"`
	// Every is the mean time between two slow moments, and Lasting their mean length.
	Every   carobduration.Duration `json:"every"`
	Lasting carobduration.Duration `json:"lasting"`
}

// service is a service and its targets.
type service struct {
	Name carobservice.Service `json:"name"`
	// Targets is how many there are in each data centre, at least 1.
	Targets int `json:"targets"`
	// Slots is how many calls a target runs at once, at least 1.
	Slots int `json:"slots"`
}

// kind is a kind of calls.
type kind struct {
	Name    carobname.Name       `json:"name"`
	Service carobservice.Service `json:"service"`
	// Rate is how many calls come a second from outside; 0 if only targets make them.
	Rate float64 `json:"rate"`
	// Work is the mean time that a target takes, and Spread its standard deviation as a
	// part of it.
	Work   carobduration.Duration `json:"work"`
	Spread carobshare.Share       `json:"spread"`
	// SLO, Timeout and Deadline are what callers want, the longest that the operator lets
	// them wait, and when they give up.
	SLO      carobduration.Duration   `json:"slo"`
	Timeout  carobduration.Duration   `json:"timeout"`
	Deadline carobduration.Duration   `json:"deadline"`
	Once     carobguarantee.Guarantee `json:"once"`
	// Rank is the priority, 0 the highest.
	Rank int `json:"rank"`
	// Retries is how often a caller comes back.
	Retries int `json:"retries"`
	// Calls is the kind of the calls that a target makes while it runs one of this kind,
	// Times how many one after the other, and Share how many of the runs make them.
	Calls carobname.Name   `json:"calls"`
	Times int              `json:"times"`
	Share carobshare.Share `json:"share"`
}

// NewScenario returns the defaults, which lack services and kinds.
func NewScenario() Scenario {
	const centre = carobcentre.Centre("here")
	pf := carobprofile.NewProfile("emulated")
	pf.HedgeQuantile, pf.LocalLoadLimit, pf.Policy = 0, 0, "local"
	return Scenario{
		Centres: []carobcentre.Centre{centre}, Measure: carobprobelimits.NewProbeLimits(), Retries: carobretrylimits.NewRetryLimits(), Profile: pf,
	}
}

// Load reads and checks a file.
func Load(file string) (Scenario, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Scenario{}, carobkind.Wrap(carobkind.Invalid, err, "read scenario")
	}
	return Parse(file, data)
}

// Parse checks a scenario; the file's name is for errors.
func Parse(file string, data []byte) (Scenario, error) {
	sc := NewScenario()
	dc := carobdocument.NewDocument(carobdocument.Config{Name: file, Data: data})
	if err := dc.Decode(&sc); err != nil {
		return Scenario{}, err
	}
	if err := sc.Check(); err != nil {
		return Scenario{}, dc.Refuse(err)
	}
	return sc, nil
}

// Check tells whether all parts are there and fit each other.
func (s *Scenario) Check() error {
	if len(s.Centres) == 0 || len(s.Services) == 0 || len(s.Kinds) == 0 {
		return carobkind.New(carobkind.Invalid, "centres, services and kinds must not be empty")
	}
	if err := s.Profile.Check(); err != nil {
		return err
	}
	services, kinds := map[carobservice.Service]bool{}, map[carobname.Name]bool{}
	for i := range s.Services {
		sv := &s.Services[i]
		if sv.Targets < 1 || sv.Slots < 1 {
			return carobkind.New(carobkind.Invalid, "service %s: targets and slots must be at least 1", sv.Name)
		}
		services[sv.Name] = true
	}
	for i := range s.Kinds {
		if err := s.Kinds[i].check(services, kinds); err != nil {
			return err
		}
		kinds[s.Kinds[i].Name] = true
	}
	return nil
}

func (k *kind) check(services map[carobservice.Service]bool, before map[carobname.Name]bool) error {
	switch {
	case !services[k.Service]:
		return carobkind.New(carobkind.Invalid, "kind %s: there is no service %q", k.Name, k.Service)
	case k.Calls != "" && !before[k.Calls]:
		return carobkind.New(carobkind.Invalid, "kind %s: no kind %q comes before it", k.Name, k.Calls)
	case k.Work <= 0 || k.SLO <= 0 || k.Timeout <= 0 || k.Deadline <= 0:
		return carobkind.New(carobkind.Invalid, "kind %s: work, slo, timeout and deadline must be above 0s", k.Name)
	case k.Rate < 0 || k.Retries < 0 || k.Times < 0:
		return carobkind.New(carobkind.Invalid, "kind %s: rate, retries and times must not be below 0", k.Name)
	}
	return nil
}
