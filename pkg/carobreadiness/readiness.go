// Package carobreadiness holds the states in which a target accepts new work or not.
package carobreadiness

import "github.com/carobknot/carobknot/pkg/carobkind"

// Readiness is the state that a target announces.
type Readiness string

// The states.
const (
	// Ready: the target accepts new work.
	Ready Readiness = "ready"
	// Leaving: the target finishes the work that it has and accepts no new work.
	Leaving Readiness = "leaving"
)

// UnmarshalText decodes a state. It returns the error of Check.
func (r *Readiness) UnmarshalText(text []byte) error {
	rd := Readiness(text)
	if err := rd.Check(); err != nil {
		return err
	}
	*r = rd
	return nil
}

// Check returns an Invalid error unless the state is Ready or Leaving.
func (r Readiness) Check() error {
	if r != Ready && r != Leaving {
		return carobkind.New(carobkind.Invalid, "state %q is neither \"ready\" nor \"leaving\"", string(r))
	}
	return nil
}
