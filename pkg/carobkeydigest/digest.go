// Package carobkeydigest defines digests of API keys, which stand for the keys in tables, in
// messages and in memory.
package carobkeydigest

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Digest is the SHA-256 digest of an API key. The zero value stands for no key.
type Digest [sha256.Size]byte

// Of returns the digest of a key.
func Of(key []byte) Digest {
	return sha256.Sum256(key)
}

// String returns the first bytes of the digest in hexadecimal, which identify a key in logs.
func (d Digest) String() string {
	const shown = 4
	return hex.EncodeToString(d[:shown])
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes what MarshalText encodes. The error is of kind Invalid.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return carobkind.New(carobkind.Invalid, "key digest: %d characters instead of %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return carobkind.Wrap(carobkind.Invalid, err, "key digest")
	}
	return nil
}
