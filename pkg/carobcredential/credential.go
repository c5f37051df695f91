// Package carobcredential holds what a call presents to identify its organisation.
package carobcredential

import "github.com/carobknot/carobknot/pkg/carobkeydigest"

// Credential is the API key of a call, as a digest. The zero value stands for a call that
// presents none, or one that is malformed.
type Credential struct {
	// Key is the digest of the API key.
	Key carobkeydigest.Digest
	// Valid is true if the call has exactly one key, in the expected form. It does not mean
	// that an organisation has the key.
	Valid bool
}
