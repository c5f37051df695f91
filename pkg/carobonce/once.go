// Package carobonce says how often a call may run.
package carobonce

import "github.com/carobknot/carobknot/pkg/carobkind"

// Once is the promise that a profile makes about runs of a call.
type Once string

// The promises.
const (
	// No: the call is idempotent and may run more than once.
	No Once = "no"
	// Call: each call runs at most once.
	Call Once = "call"
	// Key: all calls with one idempotency key together run at most once.
	Key Once = "key"
)

// UnmarshalText decodes a promise and checks it.
func (o *Once) UnmarshalText(text []byte) error {
	switch on := Once(text); on {
	case No, Call, Key:
		*o = on
		return nil
	default:
		return carobkind.New(carobkind.Invalid, "once %q is none of \"no\", \"call\" and \"key\"", text)
	}
}
