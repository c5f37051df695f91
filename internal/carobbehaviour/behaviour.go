// Package carobbehaviour says how a stand-in for a target behaves: how long its
// calls take, and which fault it plays.
package carobbehaviour

import (
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Behaviour is what a stand-in does from now on. It is changed on command.
type Behaviour struct {
	// Latency is the mean time that a call takes.
	Latency carobduration.Duration `json:"latency"`
	// Shape spreads the times: "fixed", "lognormal" or "pareto".
	Shape string `json:"shape"`
	// Sigma is the width of the log-normal distribution.
	Sigma float64 `json:"sigma"`
	// Alpha is the exponent of the bounded Pareto distribution, above 1.
	Alpha float64 `json:"alpha"`
	// Straggle multiplies each call's time; 1 is none.
	Straggle float64 `json:"straggle"`
	// Jump multiplies the times of calls that start during a jump of load.
	Jump float64 `json:"jump"`
	// Gap is the mean time between two jumps; 0 is no jumps.
	Gap carobduration.Duration `json:"gap"`
	// Shortest and Longest bound the length of a jump.
	Shortest carobduration.Duration `json:"shortest"`
	Longest  carobduration.Duration `json:"longest"`
	// Cold is how long the target warms up after its start or after it was told
	// to be cold again; a call takes Chill times as long at the beginning.
	Cold  carobduration.Duration `json:"cold"`
	Chill float64                `json:"chill"`
	// Fail answers every call with an error at once.
	Fail bool `json:"fail"`
	// Shed answers every call with 503 at once, without running it.
	Shed bool `json:"shed"`
	// Drain takes no new work and says so to nobody: calls are shed and their
	// connections closed, and those that run are finished.
	Drain bool `json:"drain"`
	// Freeze lets nothing go on, heartbeats included.
	Freeze bool `json:"freeze"`
	// Leave announces that the target is leaving.
	Leave bool `json:"leave"`
}

// The shapes.
const (
	Fixed     = "fixed"
	LogNormal = "lognormal"
	Pareto    = "pareto"
)

// NewBehaviour returns a target without faults that answers at once.
func NewBehaviour() Behaviour {
	const (
		milliseconds = 1_000_000
		noise        = 10
	)
	return Behaviour{
		Shape: Fixed, Sigma: 1, Alpha: 1.5, Straggle: 1, Jump: noise, Chill: noise,
		Shortest: 5 * milliseconds, Longest: 50 * milliseconds,
	}
}

// UnmarshalJSON decodes a change over what the behaviour was, and checks it.
func (b *Behaviour) UnmarshalJSON(text []byte) error {
	type plain Behaviour
	next := plain(*b)
	if err := json.Unmarshal(text, &next); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "decode behaviour")
	}
	if err := Behaviour(next).Check(); err != nil {
		return err
	}
	*b = Behaviour(next)
	return nil
}

// Check tells whether all fields are within their bounds.
func (b Behaviour) Check() error {
	switch {
	case b.Shape != Fixed && b.Shape != LogNormal && b.Shape != Pareto:
		return carobkind.New(carobkind.Invalid, "shape: %q is none of %q, %q and %q", b.Shape, Fixed, LogNormal, Pareto)
	case b.Shape == Pareto && b.Alpha <= 1:
		return carobkind.New(carobkind.Invalid, "alpha: must be above 1")
	case b.Straggle <= 0 || b.Jump <= 0 || b.Chill <= 0 || b.Sigma < 0:
		return carobkind.New(carobkind.Invalid, "straggle, jump, chill and sigma: must be above 0")
	case b.Longest < b.Shortest:
		return carobkind.New(carobkind.Invalid, "longest: is shorter than shortest")
	default:
		return nil
	}
}
