// Package carobgrant holds the results of claims.
package carobgrant

import "github.com/carobknot/carobknot/pkg/carobkind"

// Grant is the result of a claim.
type Grant string

const (
	// Granted means that the call holds the key and may run.
	Granted Grant = "granted"
	// Wait means that another call holds the key and has not ended.
	Wait Grant = "wait"
	// Repeated means that another call with the key has run.
	Repeated Grant = "repeated"
	// Unknown means that another call with the key may have run.
	Unknown Grant = "unknown"
	// Unclaimed means that the shard has no room for another key.
	Unclaimed Grant = "unclaimed"
)

// UnmarshalText decodes a grant. It returns an Invalid error if the text is none
// of the constants.
func (g *Grant) UnmarshalText(text []byte) error {
	switch grant := Grant(text); grant {
	case Granted, Wait, Repeated, Unknown, Unclaimed:
		*g = grant
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "grant: unknown value %.40q", text)
	}
}
