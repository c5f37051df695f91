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
	rd := Readiness(text)
	if err := rd.Check(); err != nil {
		return err
	}
	*r = rd
	return nil
}

// Check tells whether the state is one of those above.
func (r Readiness) Check() error {
	if r != Ready && r != Leaving {
		return carobkind.New(carobkind.Invalid, "state %q is neither \"ready\" nor \"leaving\"", string(r))
	}
	return nil
}
