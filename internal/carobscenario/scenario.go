// Package carobscenario describes what the emulator simulates: data centres, services
// with their targets, and the kinds of calls that callers make.
package carobscenario

import (
	"os"

	"github.com/carobknot/carobknot/internal/carobdocument"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobprobelimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobretrylimits"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshare"
)

// Scenario is a deployment and its load.
type Scenario struct {
	// Centres are the data centres; at least one.
	Centres []carobcentre.Centre `json:"centres"`
	// LocalDelay is the network delay between two VMs of one data centre, and
	// RemoteDelay that between two data centres.
	LocalDelay  carobduration.Duration `json:"hop"`
	RemoteDelay carobduration.Duration `json:"far"`
	// Noise is the effect of noisy neighbours on the VMs.
	Noise noise `json:"noise"`
	// ProbeLimits, RetryLimits and Profile are settings of the nodes; one profile holds
	// for all services.
	ProbeLimits carobprobelimits.ProbeLimits `json:"measure"`
	RetryLimits carobretrylimits.RetryLimits `json:"retries"`
	Profile     carobprofile.Profile         `json:"profile"`
	// Services has at least one element.
	Services []service `json:"services"`
	// CallKinds has at least one element. A kind must precede those that name it in
	// NestedKind.
	CallKinds []callKind `json:"kinds"`
	// Organisations make the requests from outside, if there are any. Targets' own calls need
	// no API key.
	Organisations []organisation `json:"organisations"`
	// Surges are periods of higher load.
	Surges []surge `json:"surges"`
	// SlowTargets are slower than the others for the whole run.
	SlowTargets slowTargets `json:"slow"`
}

// organisation is an organisation whose calls the route table admits.
type organisation struct {
	Name caroborganisationid.ID `json:"name"`
	// Priority is the priority, 0 the highest.
	Priority int `json:"rank"`
	// Weight is the part of the load that the organisation makes, in proportion to the sum of
	// all weights.
	Weight float64 `json:"weight"`
}

// surge multiplies the load of an organisation, or of all if Organisation is empty, from At on
// for Duration.
type surge struct {
	At           carobduration.Duration `json:"at"`
	Duration     carobduration.Duration `json:"lasting"`
	Factor       float64                `json:"factor"`
	Organisation caroborganisationid.ID `json:"organisation"`
}

// slowTargets describes a share of all targets whose work takes Factor times as long.
type slowTargets struct {
	Share  carobshare.Share `json:"share"`
	Factor float64          `json:"factor"`
}

// noise describes the slow periods of VMs.
type noise struct {
	// Factor multiplies the time of work that starts in a slow period; values up to 1
	// mean no noise.
	Factor float64 `json:"factor"`
	// Interval is the mean time from the start of one slow period to the start of the
	// next, and SlowPeriod their mean length. Interval of 0 means no noise.
	Interval   carobduration.Duration `json:"every"`
	SlowPeriod carobduration.Duration `json:"lasting"`
}

// service is a service and its targets.
type service struct {
	Name carobservice.Service `json:"name"`
	// Targets is the number of targets in each data centre, at least 1.
	Targets int `json:"targets"`
	// Slots is the number of calls that a target runs at once, at least 1.
	Slots int `json:"slots"`
}

// callKind is a kind of calls, with one service, load and route.
type callKind struct {
	Name    carobname.Name       `json:"name"`
	Service carobservice.Service `json:"service"`
	// Rate is the mean number of requests a second from outside; 0 if only targets make
	// calls of this kind.
	Rate float64 `json:"rate"`
	// Work is the mean time that a target works on a call, and Spread its standard
	// deviation as a share of the mean.
	Work   carobduration.Duration `json:"work"`
	Spread carobshare.Share       `json:"spread"`
	// SLO is the latency objective, Timeout the limit that the operator sets, and
	// Deadline the time after which callers give up.
	SLO       carobduration.Duration   `json:"slo"`
	Timeout   carobduration.Duration   `json:"timeout"`
	Deadline  carobduration.Duration   `json:"deadline"`
	Guarantee carobguarantee.Guarantee `json:"once"`
	// Priority is the priority, 0 the highest.
	Priority int `json:"rank"`
	// Retries is the number of times that a caller retries a failed call.
	Retries int `json:"retries"`
	// NestedKind is the kind of the nested calls that a target makes while it runs a
	// call of this kind; empty if it makes none. NestedCalls is their number, one after
	// the other, and NestedShare the share of runs that make them.
	NestedKind  carobname.Name   `json:"calls"`
	NestedCalls int              `json:"times"`
	NestedShare carobshare.Share `json:"share"`
}

// NewScenario returns the defaults, without services and kinds.
func NewScenario() Scenario {
	const centre = carobcentre.Centre("here")
	profile := carobprofile.NewProfile("emulated")
	profile.HedgeQuantile, profile.LocalLoadLimit, profile.Policy = 0, 0, "local"
	return Scenario{
		Centres: []carobcentre.Centre{centre}, ProbeLimits: carobprobelimits.NewProbeLimits(), RetryLimits: carobretrylimits.NewRetryLimits(), Profile: profile,
	}
}

// Load reads and checks a scenario file. Its errors are of kind Invalid.
func Load(file string) (Scenario, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return Scenario{}, carobkind.Wrap(carobkind.Invalid, err, "read scenario")
	}
	return Parse(file, data)
}

// Parse decodes and checks a scenario; the name of the file is used in errors.
func Parse(file string, data []byte) (Scenario, error) {
	scenario := NewScenario()
	document := carobdocument.NewDocument(carobdocument.Config{FileName: file, Data: data})
	if err := document.Decode(&scenario); err != nil {
		return Scenario{}, err
	}
	if err := scenario.Check(); err != nil {
		return Scenario{}, document.WithPosition(err)
	}
	return scenario, nil
}

// Check returns an error of kind Invalid if a part is missing, out of its bounds, or
// refers to a service or kind that is not defined.
func (s *Scenario) Check() error {
	if len(s.Centres) == 0 || len(s.Services) == 0 || len(s.CallKinds) == 0 {
		return carobkind.New(carobkind.Invalid, "centres, services and kinds must not be empty")
	}
	if err := s.Profile.Check(); err != nil {
		return err
	}
	services, kinds := map[carobservice.Service]bool{}, map[carobname.Name]bool{}
	for i := range s.Services {
		service := &s.Services[i]
		if service.Targets < 1 || service.Slots < 1 {
			return carobkind.New(carobkind.Invalid, "service %s: targets and slots must be at least 1", service.Name)
		}
		services[service.Name] = true
	}
	for i := range s.CallKinds {
		if err := s.CallKinds[i].check(services, kinds); err != nil {
			return err
		}
		kinds[s.CallKinds[i].Name] = true
	}
	return nil
}

// check checks one kind against all services and the kinds that precede it.
func (k *callKind) check(services map[carobservice.Service]bool, precedingKinds map[carobname.Name]bool) error {
	switch {
	case !services[k.Service]:
		return carobkind.New(carobkind.Invalid, "kind %s: there is no service %q", k.Name, k.Service)
	case k.NestedKind != "" && !precedingKinds[k.NestedKind]:
		return carobkind.New(carobkind.Invalid, "kind %s: no kind %q comes before it", k.Name, k.NestedKind)
	case k.Work <= 0 || k.SLO <= 0 || k.Timeout <= 0 || k.Deadline <= 0:
		return carobkind.New(carobkind.Invalid, "kind %s: work, slo, timeout and deadline must be above 0s", k.Name)
	case k.Rate < 0 || k.Retries < 0 || k.NestedCalls < 0:
		return carobkind.New(carobkind.Invalid, "kind %s: rate, retries and times must not be below 0", k.Name)
	}
	return nil
}
