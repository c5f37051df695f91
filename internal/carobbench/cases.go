package carobbench

import "time"

// benchCase is a load and the faults of targets under it. Behaviours are changes in
// JSON, as carobbehaviour decodes them; empty means no change.
type benchCase struct {
	name string
	// load is the offered load as a share of the capacity of the service's slots.
	load float64
	// deadline is how long callers wait.
	deadline time.Duration
	// allTargets is the behaviour of every target from before the first call.
	allTargets string
	// fault is the behaviour of the first target from the first counted call on.
	fault string
	// durationFactor multiplies the counted time; 0 means 1.
	durationFactor int
	// recovery is the behaviour of the first target after faultShare of the counted
	// time; empty if the fault lasts.
	recovery string
}

// faultShare is the share of the counted time after which the first target recovers.
const faultShare = 0.6

const (
	longDeadline  = 2 * time.Second
	shortDeadline = 250 * time.Millisecond
)

// duration returns the counted time of the case.
func (b benchCase) duration(base time.Duration) time.Duration {
	return base * time.Duration(max(b.durationFactor, 1))
}

// defaultCases has the names of the cases that are measured if Config names none.
var defaultCases = []string{"steady80", "noisy", "straggler", "failfast", "drain", "overload"}

// cases is the table of all cases. To add one, add a row.
var cases = []benchCase{
	{name: "steady50", load: 0.5, deadline: longDeadline},
	{name: "steady80", load: 0.8, deadline: longDeadline},
	{name: "steady95", load: 0.95, deadline: longDeadline},
	{name: "noisy", load: 0.7, deadline: longDeadline, allTargets: `{"gap": "1s"}`},
	{name: "straggler", load: 0.6, deadline: longDeadline, fault: `{"straggle": 10}`},
	{name: "failfast", load: 0.6, deadline: longDeadline, fault: `{"fail": true}`, recovery: `{"fail": false}`, durationFactor: 4},
	{name: "drain", load: 0.6, deadline: longDeadline, fault: `{"drain": true}`},
	{name: "cold", load: 0.6, deadline: longDeadline, fault: `{"cold": "3s"}`},
	{name: "frozen", load: 0.6, deadline: longDeadline, fault: `{"freeze": true}`},
	{name: "overload", load: 1.3, deadline: longDeadline},
	{name: "impatient", load: 1.3, deadline: shortDeadline},
}

// healthy is the behaviour that ends all faults.
const healthy = `{"straggle": 1, "gap": "0s", "fail": false, "drain": false, "cold": "0s", "freeze": false, "shed": false, "leave": false}`
