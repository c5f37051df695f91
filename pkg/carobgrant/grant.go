// Package carobgrant says what became of a claim.
package carobgrant

import "github.com/carobknot/carobknot/pkg/carobkind"

// Grant is the answer to a claim.
type Grant string

// The answers.
const (
	// Granted: the call holds the key and may run.
	Granted Grant = "granted"
	// Wait: another call holds the key and is not over.
	Wait Grant = "wait"
	// Repeated: another call with the key has run.
	Repeated Grant = "repeated"
	// Unknown: another call with the key may have run.
	Unknown Grant = "unknown"
	// Unclaimed: there is no room for another key.
	Unclaimed Grant = "unclaimed"
)

// UnmarshalText decodes an answer and checks it.
func (g *Grant) UnmarshalText(text []byte) error {
	switch gr := Grant(text); gr {
	case Granted, Wait, Repeated, Unknown, Unclaimed:
		*g = gr
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "grant %.40q is not in the list", text)
	}
}
