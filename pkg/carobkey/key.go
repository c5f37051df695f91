// Package carobkey holds the idempotency keys of callers.
package carobkey

import (
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
)

// MaxLength is the maximum length of a key, in bytes.
const MaxLength = 255

// Key is an idempotency key. The same text sent to two services makes two keys.
type Key struct {
	Service carobservice.Service `json:"service"`
	// Text is the key as the caller sent it: 1 to MaxLength bytes.
	Text string `json:"text"`
}

// Check returns an Invalid error if the key is empty or too long.
func (k Key) Check() error {
	if k.Text == "" || len(k.Text) > MaxLength {
		return carobkind.New(carobkind.Invalid, "key: length of %d bytes is not between 1 and %d", len(k.Text), MaxLength)
	}
	return nil
}
