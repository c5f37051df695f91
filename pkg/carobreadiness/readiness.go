// Package carobreadiness says whether a target takes new work.
package carobreadiness

import "github.com/carobknot/carobknot/pkg/carobkind"

// Readiness is what a target announces about itself.
type Readiness string

// The states.
const (
	// Ready: the target takes new work.
	Ready Readiness = "ready"
	// Leaving: the target finishes what it has and takes nothing new.
	Leaving Readiness = "leaving"
)

// UnmarshalText decodes a state and checks it.
func (r *Readiness) UnmarshalText(text []byte) error {
	switch rd := Readiness(text); rd {
	case Ready, Leaving:
		*r = rd
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "state %q is neither \"ready\" nor \"leaving\"", text)
	}
}
