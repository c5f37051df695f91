// Package carobonce defines how often a call may run.
package carobonce

import "github.com/carobknot/carobknot/pkg/carobkind"

// Once is the guarantee of a profile or route about the runs of a call.
type Once string

// The guarantees.
const (
	// No: the call is idempotent and may run more than once.
	No Once = "no"
	// Call: each call runs at most once.
	Call Once = "call"
	// Key: all calls with one idempotency key together run at most once.
	Key Once = "key"
)

// UnmarshalText decodes a guarantee. It returns an Invalid error for any other text.
func (o *Once) UnmarshalText(text []byte) error {
	switch once := Once(text); once {
	case No, Call, Key:
		*o = once
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "once %q is none of \"no\", \"call\" and \"key\"", text)
	}
}
