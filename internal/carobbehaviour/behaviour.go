// Package carobbehaviour describes how a stand-in for a target behaves: its service
// times and its faults.
package carobbehaviour

import (
	"encoding/json"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Behaviour is the service times and faults of a stand-in target.
type Behaviour struct {
	// Latency is the mean service time of a call, without the factors below.
	Latency carobduration.Duration `json:"latency"`
	// Shape is the distribution of service times: "fixed", "lognormal" or "pareto".
	Shape string `json:"shape"`
	// Sigma is the standard deviation of the logarithm under the log-normal
	// distribution.
	Sigma float64 `json:"sigma"`
	// Alpha is the exponent of the bounded Pareto distribution, above 1.
	Alpha float64 `json:"alpha"`
	// SlowFactor multiplies the service time of each call; 1 has no effect.
	SlowFactor float64 `json:"straggle"`
	// JumpFactor multiplies the service times of calls that start during a jump of
	// load, which models a noisy neighbour.
	JumpFactor float64 `json:"jump"`
	// JumpInterval is the mean time between two jumps; 0 means no jumps.
	JumpInterval carobduration.Duration `json:"gap"`
	// MinJump and MaxJump bound the length of a jump.
	MinJump carobduration.Duration `json:"shortest"`
	MaxJump carobduration.Duration `json:"longest"`
	// Warmup is the duration of the warm-up, which starts with the target and again
	// when this field is set; 0 means none. The factor on service times falls linearly
	// from ColdFactor to 1 during the warm-up.
	Warmup     carobduration.Duration `json:"cold"`
	ColdFactor float64                `json:"chill"`
	// Fail answers every call with status 500, almost at once.
	Fail bool `json:"fail"`
	// Shed answers every call with status 503 at once, without running it.
	Shed bool `json:"shed"`
	// Drain answers new calls with status 503 and closes their connections, without an
	// announcement. Running calls are finished.
	Drain bool `json:"drain"`
	// Freeze stops heartbeats and the end of running calls.
	Freeze bool `json:"freeze"`
	// Leave makes heartbeats announce that the target is leaving.
	Leave bool `json:"leave"`
}

// Values of Shape.
const (
	Fixed     = "fixed"
	LogNormal = "lognormal"
	Pareto    = "pareto"
)

// NewBehaviour returns the defaults: no faults and a latency of 0.
func NewBehaviour() Behaviour {
	const (
		milliseconds  = 1_000_000
		defaultFactor = 10
	)
	return Behaviour{
		Shape: Fixed, Sigma: 1, Alpha: 1.5, SlowFactor: 1, JumpFactor: defaultFactor, ColdFactor: defaultFactor,
		MinJump: 5 * milliseconds, MaxJump: 50 * milliseconds,
	}
}

// UnmarshalJSON decodes a change and checks the result. Fields that are not named keep
// their values. After an error, of kind Invalid, the behaviour is unchanged.
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

// Check returns an error of kind Invalid if a field is out of its bounds.
func (b Behaviour) Check() error {
	switch {
	case b.Shape != Fixed && b.Shape != LogNormal && b.Shape != Pareto:
		return carobkind.New(carobkind.Invalid, "shape: %q is none of %q, %q and %q", b.Shape, Fixed, LogNormal, Pareto)
	case b.Shape == Pareto && b.Alpha <= 1:
		return carobkind.New(carobkind.Invalid, "alpha: must be above 1")
	case b.SlowFactor <= 0 || b.JumpFactor <= 0 || b.ColdFactor <= 0 || b.Sigma < 0:
		return carobkind.New(carobkind.Invalid, "straggle, jump and chill must be above 0, and sigma not below 0")
	case b.MaxJump < b.MinJump:
		return carobkind.New(carobkind.Invalid, "longest: must not be shorter than shortest")
	default:
		return nil
	}
}
