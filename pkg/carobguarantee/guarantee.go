// Package carobguarantee defines how often a call may run.
package carobguarantee

import "github.com/carobknot/carobknot/pkg/carobkind"

// Guarantee is the limit that a profile or route sets on the runs of a call.
type Guarantee string

// The guarantees.
const (
	// Idempotent means that the call is idempotent and may run more than once.
	Idempotent Guarantee = "no"
	// OncePerCall means that each call runs at most once.
	OncePerCall Guarantee = "call"
	// OncePerKey means that all calls with one idempotency key together run at most
	// once.
	OncePerKey Guarantee = "key"
)

// UnmarshalText decodes a guarantee. It returns an Invalid error for any other text.
func (g *Guarantee) UnmarshalText(text []byte) error {
	switch guarantee := Guarantee(text); guarantee {
	case Idempotent, OncePerCall, OncePerKey:
		*g = guarantee
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "once %q is none of \"no\", \"call\" and \"key\"", text)
	}
}
