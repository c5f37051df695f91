// Package carobclaimresult holds the results of claims.
package carobclaimresult

import "github.com/carobknot/carobknot/pkg/carobkind"

// ClaimResult is the result of a claim.
type ClaimResult string

const (
	// Granted means that the call holds the key and may run.
	Granted ClaimResult = "granted"
	// Held means that another call holds the key and has not ended.
	Held ClaimResult = "wait"
	// Repeated means that another call with the key has run.
	Repeated ClaimResult = "repeated"
	// Unknown means that another call with the key may have run.
	Unknown ClaimResult = "unknown"
	// Unclaimed means that the shard has no room for another key.
	Unclaimed ClaimResult = "unclaimed"
)

// UnmarshalText decodes a result. It returns an Invalid error if the text is none
// of the constants.
func (r *ClaimResult) UnmarshalText(text []byte) error {
	switch result := ClaimResult(text); result {
	case Granted, Held, Repeated, Unknown, Unclaimed:
		*r = result
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "grant: unknown value %.40q", text)
	}
}
