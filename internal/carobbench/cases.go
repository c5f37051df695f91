package carobbench

import "time"

// scenario is a course of load and faults.
type scenario struct {
	name string
	// load is the calls under way as a share of all slots of the service.
	load float64
	// deadline is how long callers wait.
	deadline time.Duration
	// all is how every target behaves from before the first call.
	all string
	// first is how the first target behaves from the first counted call on.
	first string
	// stretch multiplies the time that is counted; 0 is 1.
	stretch int
	// healed is how the first target behaves after healing share of the time;
	// empty if it does not heal.
	healed string
}

// healing is the share of a cell after which a target heals.
const healing = 0.6

const (
	patient   = 2 * time.Second
	impatient = 250 * time.Millisecond
)

// length returns the time that is counted of the case.
func (s scenario) length(usual time.Duration) time.Duration {
	return usual * time.Duration(max(s.stretch, 1))
}

// deciding has the names of the cases that are measured if none are named.
var deciding = []string{"steady80", "noisy", "straggler", "failfast", "drain", "overload"}

// cases is the look-up table of all scenarios. To add one, add a row.
var cases = []scenario{
	{name: "steady50", load: 0.5, deadline: patient},
	{name: "steady80", load: 0.8, deadline: patient},
	{name: "steady95", load: 0.95, deadline: patient},
	{name: "noisy", load: 0.7, deadline: patient, all: `{"gap": "1s"}`},
	{name: "straggler", load: 0.6, deadline: patient, first: `{"straggle": 10}`},
	{name: "failfast", load: 0.6, deadline: patient, first: `{"fail": true}`, healed: `{"fail": false}`, stretch: 4},
	{name: "drain", load: 0.6, deadline: patient, first: `{"drain": true}`},
	{name: "cold", load: 0.6, deadline: patient, first: `{"cold": "3s"}`},
	{name: "frozen", load: 0.6, deadline: patient, first: `{"freeze": true}`},
	{name: "overload", load: 1.3, deadline: patient},
	{name: "impatient", load: 1.3, deadline: impatient},
}

// healthy undoes all faults.
const healthy = `{"straggle": 1, "gap": "0s", "fail": false, "drain": false, "cold": "0s", "freeze": false, "shed": false, "leave": false}`
